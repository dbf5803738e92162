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
        context.crashes.noteEnd(run.content,
            { run.server, run.sentAt, run.brokenAt, certain ? EndEvidence::Certain : EndEvidence::Unsure,
                run.step, run.prefill, run.apart });
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
        .with("content", contentText(run.content))
        .with("parts", partsText(run.parts))
        .with("backend", run.server.backend)
        .with("started_ms", run.server.startedAtMs)
        .with("ran_ms", ran.count())
        .with("leaving", leaving)
        .with("apart", run.apart)
        .with("in_row", context.crashes.consecutiveEnds(run.content));
}

awaitable<std::optional<PlacementChoice>> RequestForwarder::Impl::chooseServer(
    Choose choose, Placement::Excluded excluded)
{
    releaseSuspectLock();
    auto taken = excluded;
    while (!stopped() && !refusedForCrashes()) {
        auto choice = choose(taken);
        const bool suspect = m_context.crashes.suspicion(m_content, bootTime()) == Suspicion::Isolate;
        if (!choice && (!suspect || taken.size() == excluded.size()))
            co_return choice;
        if (!suspect) {
            if (takePermit(choice->backend))
                co_return choice;
            taken.insert(choice->backend);
            continue;
        }
        auto entry = SuspectLockResult::ContentBusy;
        if (choice)
            entry = co_await m_context.suspectLock.acquire(m_content, choice->backend);
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
        case SuspectLockResult::ContentBusy:
            taken = excluded;
            co_await sleepFor(lockRetryInterval);
            break;
        case SuspectLockResult::Unavailable:
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
    if (m_context.crashes.suspicion(m_content, bootTime()) != Suspicion::Refuse)
        return false;
    if (std::exchange(m_error, ErrorKind::CrashingRequestNotRun) == ErrorKind::CrashingRequestNotRun)
        return true;
    m_outOfServers = true;
    std::string servers;
    MonotonicTime last {};
    for (const auto& end : m_context.crashes.find(m_content)->ends) {
        if (end.withdrawn)
            continue;
        servers += (servers.empty() ? "" : ",") + end.server.backend.text();
        last = std::max(last, end.endedAt);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(bootTime() - last);
    LogEvent("crashing_request", LogLevel::Warning)
        .with("request", m_request.id)
        .with("content", contentText(m_content))
        .with("ended", servers)
        .with("age_ms", age.count());
    return true;
}

void RequestForwarder::Impl::releaseSuspectLock()
{
    if (!m_lockedServer)
        return;
    spawn(m_context.executor, m_context.suspectLock.release(m_content, *m_lockedServer));
    m_lockedServer.reset();
}

} // namespace almondscale
