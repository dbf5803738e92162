#include "Forwarding/RequestForwarderImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"
#include "Serving/RequestContent.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Most requests complete within this time.
    constexpr Nanoseconds lockRetryInterval = milliseconds(15);
    constexpr Nanoseconds diagnosisPollInterval = milliseconds(5);

} // namespace

awaitable<void> RequestForwarder::Impl::handleBrokenRun(bool again)
{
    if (!m_brokenRun)
        co_return;
    auto run = std::move(*m_brokenRun);
    m_brokenRun.reset();
    // The result of a first broken run does not affect the next attempt, so it is not awaited.
    const auto earlier = std::exchange(m_diagnosed, std::make_shared<bool>(false));
    if (!m_lockedServer && (!earlier || !again)) {
        spawn(m_context.executor, diagnoseBrokenRun(m_context, std::move(run), m_diagnosed));
        co_return;
    }
    co_await diagnoseBrokenRun(m_context, std::move(run), m_diagnosed);
    while (earlier && !*earlier)
        co_await sleepFor(diagnosisPollInterval);
}

awaitable<void> RequestForwarder::Impl::diagnoseBrokenRun(
    ServingContext& context, BrokenRun run, std::shared_ptr<bool> done)
{
    const auto* backend = context.backends.find(run.server.backend);
    // The termination of a leaving server is planned and no crash.
    const bool leaving
        = !backend || lifetimeOf(backend->record) != run.server || context.backends.isLeaving(*backend);
    const bool ended = co_await context.livenessProbe.hasTerminated(run.server, run.address);
    if (ended && !leaving) {
        const bool certain = run.apart || run.usedConnection || context.pool.hasClosedIdle(run.address);
        ServerEnd end;
        end.server = run.server;
        end.sentAt = run.sentAt;
        end.endedAt = run.brokenAt;
        end.evidence = certain ? EndEvidence::Certain : EndEvidence::Unsure;
        end.prefill = run.prefill;
        end.apart = run.apart;
        context.crashes.noteEnd(run.subjects, end, run.steps);
    }
    // A reset of one connection usually affects the idle ones too.
    if (ended || run.reset)
        context.pool.closeIdle(run.address);
    *done = true;
    if (context.onBrokenRun)
        context.onBrokenRun(run, ended);
    if (!ended)
        co_return;
    const auto ran = std::chrono::duration_cast<milliseconds>(run.brokenAt - run.sentAt);
    LogEvent("server_ended", LogLevel::Warning)
        .with("request", run.request)
        .with("content", contentText(run.subjects.content))
        .with("parts", partsText(run.subjects.sharedParts))
        .with("backend", run.server.backend)
        .with("started_ms", run.server.startedAtMs)
        .with("ran_ms", ran.count())
        .with("leaving", leaving)
        .with("apart", run.apart)
        .with("in_row", context.crashes.consecutiveEnds(run.subjects.content));
}

awaitable<std::optional<PlacementChoice>> RequestForwarder::Impl::chooseServer(
    Choose choose, Placement::Excluded excluded)
{
    releaseSuspectLock();
    auto taken = excluded;
    while (!stopped() && !refusedForCrashes()) {
        auto choice = choose(taken);
        const bool suspect = m_verdict.suspicion == Suspicion::Isolate;
        if (!choice && (!suspect || taken.size() == excluded.size()))
            co_return choice;
        if (!suspect) {
            if (takePermit(choice->backend))
                co_return choice;
            taken.insert(choice->backend);
            continue;
        }
        auto entry = SuspectLockResult::SubjectBusy;
        m_lockedSubject = m_verdict.subject;
        if (choice)
            entry = co_await m_context.suspectLock.acquire(m_lockedSubject, choice->backend);
        switch (entry) {
        case SuspectLockResult::Acquired:
            m_lockedServer = choice->backend;
            // Acquiring the lock may have brought crash records of other hosts.
            if (!refusedForCrashes() && takePermit(choice->backend))
                co_return choice;
            releaseSuspectLock();
            taken.insert(choice->backend);
            break;
        case SuspectLockResult::ServerBusy:
            taken.insert(choice->backend);
            break;
        case SuspectLockResult::SubjectBusy:
            taken = excluded;
            co_await sleepFor(lockRetryInterval);
            break;
        case SuspectLockResult::Unavailable:
            // Without the lock, hosts would try out a bad part at the same time.
            if (m_lockedSubject.isPart) {
                refuseForCrashes();
                co_return std::nullopt;
            }
            // The server may have been removed while the lock was requested.
            if (takePermit(choice->backend))
                co_return choice;
            taken.insert(choice->backend);
            break;
        }
    }
    co_return std::nullopt;
}

bool RequestForwarder::Impl::refusedForCrashes()
{
    m_verdict = m_context.crashes.verdict(m_subjects, bootTime());
    if (m_verdict.suspicion != Suspicion::Refuse)
        return false;
    refuseForCrashes();
    return true;
}

void RequestForwarder::Impl::refuseForCrashes()
{
    if (std::exchange(m_error, ErrorKind::CrashingRequestNotRun) == ErrorKind::CrashingRequestNotRun)
        return;
    m_outOfServers = true;
    const auto& subject = m_verdict.subject;
    const auto ends = m_context.crashes.countedEnds(subject);
    const auto age = std::chrono::duration_cast<milliseconds>(bootTime() - lastEnd(ends));
    const auto* bad = subject.isPart ? m_context.crashes.findBad(subject) : nullptr;
    LogEvent("crashing_request", LogLevel::Warning)
        .with("request", m_request.id)
        .with(subject.isPart ? "part" : "content", bad ? partsText(bad->parts) : subjectName(subject))
        .with("ended", serversText(ends))
        .with("age_ms", age.count());
    if (m_context.onCrashRefusal)
        m_context.onCrashRefusal(subject);
}

void RequestForwarder::Impl::releaseSuspectLock()
{
    if (!m_lockedServer)
        return;
    spawn(m_context.executor, m_context.suspectLock.release(m_lockedSubject, *m_lockedServer));
    m_lockedServer.reset();
}

} // namespace almondscale
