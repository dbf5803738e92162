#include "Forwarding/RequestRunImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Signal.h"
#include "Forwarding/Spawn.h"
#include "Serving/RequestContent.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // A suspect asks again for a server after this; most requests end within it.
    constexpr Nanoseconds lanePause = milliseconds(15);

} // namespace

awaitable<void> RequestRun::Impl::settle(bool again)
{
    if (!m_broken)
        co_return;
    auto run = std::move(*m_broken);
    m_broken.reset();
    // The first end changes nothing for the next attempt, which need not wait for it.
    const bool second = m_examined != nullptr;
    m_examined = std::make_shared<bool>(false);
    if (m_laneServer || (second && again))
        co_await examine(m_context, std::move(run), m_examined);
    else
        spawn(m_context.executor, examine(m_context, std::move(run), m_examined));
}

awaitable<void> RequestRun::Impl::examine(ServingContext& context, BrokenRun run, std::shared_ptr<bool> done)
{
    const auto* backend = context.backends.find(run.server.backend);
    // A server that was leaving has ended as planned.
    const bool leaving
        = !backend || lifetimeOf(backend->record) != run.server || context.backends.isLeaving(*backend);
    const bool ended = co_await context.lifeProbe.ended(run.server, run.address);
    if (ended && !leaving) {
        const bool certain = run.apart || run.provenConnection || context.pool.anyClosed(run.address);
        context.crashes.noteEnd(run.content,
            { run.server, run.sentAt, run.brokenAt, certain ? EndEvidence::Certain : EndEvidence::Unsure,
                run.step, run.prefill, run.apart });
    }
    // What resets one kept connection mostly resets them all.
    if (ended || run.reset)
        context.pool.forget(run.address);
    *done = true;
    if (context.onBrokenRun)
        context.onBrokenRun(run, ended);
    if (!ended)
        co_return;
    const auto ran = std::chrono::duration_cast<milliseconds>(run.brokenAt - run.sentAt);
    LogEvent("server_ended", LogLevel::Warning)
        .with("request", run.request)
        .with("content", contentText(run.content))
        .with("backend", run.server.backend)
        .with("started_ms", run.server.startedAtMs)
        .with("ran_ms", ran.count())
        .with("leaving", leaving)
        .with("apart", run.apart)
        .with("in_row", context.crashes.consecutiveEnds(run.content));
}

awaitable<std::optional<PlacementChoice>> RequestRun::Impl::chooseServer(
    Choose choose, Placement::Excluded excluded)
{
    leaveLane();
    auto taken = excluded;
    while (!stopped() && !refusedForCrashes()) {
        auto choice = choose(taken);
        const bool suspect = m_context.crashes.suspicion(m_content, bootTime()) == Suspicion::Isolate;
        if (!suspect || (!choice && taken.size() == excluded.size()))
            co_return choice;
        auto entry = LaneEntry::RequestTaken;
        if (choice)
            entry = co_await m_context.lane.enter(m_content, choice->backend);
        switch (entry) {
        case LaneEntry::Entered:
            m_laneServer = choice->backend;
            // What is known of the request may have come with the entry.
            if (refusedForCrashes() || !m_context.backends.find(choice->backend))
                leaveLane();
            else
                co_return choice;
            break;
        case LaneEntry::ServerTaken:
            taken.insert(choice->backend);
            break;
        case LaneEntry::RequestTaken:
            taken = excluded;
            co_await sleepFor(lanePause);
            break;
        case LaneEntry::Unavailable:
            // The server may have gone while the store was asked.
            if (m_context.backends.maySendTo(choice->backend, bootTime()))
                co_return choice;
            break;
        }
    }
    co_return std::nullopt;
}

bool RequestRun::Impl::refusedForCrashes()
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

void RequestRun::Impl::leaveLane()
{
    if (!m_laneServer)
        return;
    spawn(m_context.executor, m_context.lane.leave(m_content, *m_laneServer));
    m_laneServer.reset();
}

} // namespace almondscale
