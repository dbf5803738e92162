#include "Forwarding/RequestRunImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Signal.h"
#include "Serving/RequestContent.h"
#include "Serving/RetryAdvice.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Backend servers are in the same region; a connection that is not made by then is lost.
    constexpr Nanoseconds connectTime = milliseconds(250);

    // Over at most so much time hosts come back to a server that asked them to wait.
    constexpr Nanoseconds mostReturnSpread = milliseconds(500);

    // A new connection that nobody behind its address takes is closed within this time.
    constexpr Nanoseconds closeTime = milliseconds(20);

    std::uint64_t drawOf(const CallerRequestId& id) { return std::hash<std::string>()(id.text()); }

} // namespace

RequestRun::Impl::Impl(
    ServingContext& context, CallerRequest request, std::shared_ptr<const Route> route, AnswerSink sink)
    : m_context(context)
    , m_request(std::move(request))
    , m_route(std::move(route))
    , m_sink(std::move(sink))
    , m_service(drawService(*m_route, drawOf(m_request.id)))
    , m_arrivedAt(bootTime())
    , m_deadline(Deadline::after(
          m_arrivedAt, std::min(m_request.patience.value_or(m_route->timeout), m_route->timeout)))
    , m_content(contentOf(m_request))
    , m_lastEvent(m_request.lastEvent)
{
    ++m_context.openRequests;
}

awaitable<void> RequestRun::Impl::run()
{
    m_context.retries.onRequest(m_service, m_arrivedAt);
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(m_deadline.remaining(bootTime()));
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        if (const auto self = error ? nullptr : weak.lock())
            self->stop(self->m_timeUp);
    });
    const auto* spec = m_context.routes.service(m_service);
    if (spec && spec->engine && m_request.prompt) {
        m_engine = *spec->engine;
        const auto& prompt = *m_request.prompt;
        m_context.demand.onRequest(
            m_service, prompt, cachedWorkMs(), m_context.decodeTimes.holdMs(m_route->name), m_arrivedAt);
        co_await runAttempts([this] { return attemptStream(); });
    } else {
        co_await runAttempts([this] { return attemptPlain(); });
    }
    timer.cancel();
    logEnd();
}

void RequestRun::Impl::stop(bool& reason)
{
    reason = true;
    if (m_connection)
        m_connection->close();
}

awaitable<void> RequestRun::Impl::runAttempts(Attempt attempt)
{
    while (!refusedForCrashes()) {
        const auto end = co_await attempt();
        if (end == AttemptEnd::MayHaveRun || end == AttemptEnd::Failed)
            m_mayHaveRun = true;
        const bool over = end == AttemptEnd::Delivered || stopped();
        const bool again = !over && !m_outOfServers && mayTryAgain();
        co_await settle(again);
        leaveLane();
        if (end == AttemptEnd::Delivered || m_callerGone)
            co_return;
        if (!again)
            break;
    }
    co_await giveUp();
}

bool RequestRun::Impl::mayTryAgain()
{
    if (m_mayHaveRun && !m_route->repeatable())
        return false;
    // An attempt that found no connection sent nothing; each server is tried once at most.
    const bool sent = std::exchange(m_sent, false);
    if (m_runs >= m_route->maxAttempts || (sent && ++m_cycles > m_route->maxAttempts))
        return false;
    // Another prefill counts like another run.
    const int sends = (m_arrivals > 0 ? 1 : 0) + (m_prefillSent ? 1 : 0);
    if (sent && sends > 0 && !m_context.retries.tryRetry(m_service, bootTime(), sends)) {
        m_error = ErrorKind::RetryBudgetSpent;
        return false;
    }
    return true;
}

awaitable<void> RequestRun::Impl::giveUp()
{
    if (m_headSent) {
        m_outcome = "broken_off";
        m_sink.breakOff();
        co_return;
    }
    if (m_failure && !m_timeUp) {
        m_outcome = "server_failed";
        co_await m_sink.sendWhole(std::move(m_failure->head), std::move(m_failure->body));
        co_return;
    }
    ErrorKind kind = m_error;
    if (m_mayHaveRun)
        kind = m_timeUp ? ErrorKind::DeadlinePassed : ErrorKind::AnswerLost;
    else if (m_timeUp)
        kind = ErrorKind::DeadlineUnreachable;
    co_await refuse(kind);
}

awaitable<void> RequestRun::Impl::refuse(ErrorKind kind)
{
    m_outcome = errorName(kind);
    auto answer = m_context.wire.encodeError(kind, comeBackAfter(kind));
    co_await m_sink.sendWhole(std::move(answer.head), std::move(answer.body));
}

std::optional<Nanoseconds> RequestRun::Impl::comeBackAfter(ErrorKind kind) const
{
    const auto now = bootTime();
    if (kind == ErrorKind::CrashingRequestNotRun)
        return m_context.crashes.refusedUntil(m_content).remaining(now);
    // With all servers barred, the first one that is free again decides.
    const bool noServer = kind == ErrorKind::NoEngine || kind == ErrorKind::QueueFull;
    const auto barEnd = noServer ? m_context.backends.firstBarEnd(m_service, now) : std::nullopt;
    if (barEnd && m_context.backends.usable(m_service, now).empty())
        return barEnd->remaining(now);
    return retryAfter(kind);
}

awaitable<bool> RequestRun::Impl::openConnection(BackendId id, Address address, Deadline deadline)
{
    m_context.backends.noteAttempt(id, bootTime());
    m_connection = m_context.pool.take(address);
    if (m_connection && m_context.backends.maySendTo(id, bootTime()))
        co_return true;
    if (m_connection) {
        m_context.pool.giveBack(std::move(m_connection));
        co_return false;
    }
    m_connection = m_context.pool.make(address);
    auto error = co_await m_connection->connect(std::min(deadline, Deadline::after(bootTime(), connectTime)));
    if (!error && m_laneServer) {
        // What breaks once a suspect is sent must not have been broken before.
        co_await sleepFor(closeTime);
        if (m_connection->closedByServer())
            error = std::make_error_code(std::errc::connection_reset);
    }
    // Meanwhile the server may have said that it leaves, or asked for a pause.
    const bool mayBeSent = m_context.backends.maySendTo(id, bootTime());
    if (!error && !stopped() && mayBeSent)
        co_return true;
    m_connection.reset();
    if (!stopped() && error) {
        m_context.backends.noteOutcome(id, BackendOutcome::Unreachable, bootTime());
        LogEvent("connect_failed", LogLevel::Warning)
            .with("request", m_request.id)
            .with("backend", id)
            .with("address", address.text())
            .with("error", error.message());
    }
    co_return false;
}

awaitable<Result<BackendReply>> RequestRun::Impl::exchange(const BackendCall& call, Deadline deadline)
{
    const auto head = m_context.wire.encodeCall(m_request, call);
    const auto* backend = m_context.backends.find(call.backend);
    m_server = backend ? lifetimeOf(backend->record) : BackendLifetime { call.backend, 0 };
    m_sentAt = bootTime();
    const bool unexamined = m_examined && !*m_examined;
    m_prefilling = call.prefillOnly;
    m_step = std::max(m_context.crashes.nextStep(m_content), unexamined ? m_step + 1 : 0);
    m_sent = true;
    const auto error = co_await m_connection->send(head, m_request.body, deadline);
    if (error)
        co_return error;
    // A second answer to an earlier request may lie in front; its id tells.
    constexpr int mostStrays = 2;
    for (int strays = 0;; ++strays) {
        auto read = co_await m_connection->readHead(head.method == "HEAD", deadline);
        if (!read)
            co_return read.error();
        auto reply = m_context.wire.decodeReply(std::move(read.value()));
        if (reply.requestId == m_request.id.text() || (reply.requestId.empty() && !reply.proven)) {
            if (!reply.wrongBackend)
                heed(reply);
            co_return reply;
        }
        if (strays == mostStrays)
            co_return std::make_error_code(std::errc::bad_message);
        auto skipped = co_await readRest(deadline);
        if (!skipped)
            co_return skipped.error();
    }
}

void RequestRun::Impl::heed(const BackendReply& reply)
{
    m_context.crashes.noteAlive(m_server, m_sentAt);
    if (reply.leaving && m_context.backends.noteLeaving(m_server, { bootTime(), true })) {
        LogEvent("server_leaving").with("request", m_request.id).with("backend", m_server.backend);
        if (m_context.onServerLeaving)
            m_context.onServerLeaving(m_server);
    }
    if (!reply.retryAfter)
        return;
    // Hosts that were asked to wait alike come back one after the other.
    const auto spread = std::min(*reply.retryAfter / 10, mostReturnSpread);
    const auto now = bootTime();
    const auto until = Deadline::after(now,
        *reply.retryAfter
            + Nanoseconds(
                static_cast<std::int64_t>(uniform(m_context.random) * static_cast<double>(spread.count()))));
    if (!m_context.backends.noteBarred(m_server, until, now))
        return;
    const auto barred = std::chrono::duration_cast<milliseconds>(until.remaining(now));
    LogEvent("server_barred")
        .with("request", m_request.id)
        .with("backend", m_server.backend)
        .with("ms", barred.count());
    if (m_context.onServerBarred)
        m_context.onServerBarred(m_server);
}

BackendCall RequestRun::Impl::callTo(const BackendId& id) const
{
    BackendCall call;
    call.backend = id;
    call.remaining = m_deadline.remaining(bootTime());
    call.lastEvent = m_lastEvent;
    if (m_request.prompt)
        call.priority = m_route->priority;
    return call;
}

void RequestRun::Impl::dropConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void RequestRun::Impl::note(const BackendId& id, BackendOutcome outcome)
{
    // A caller's leaving breaks a connection too.
    const bool broken = outcome == BackendOutcome::Broken || outcome == BackendOutcome::Unreachable;
    m_context.backends.noteOutcome(id, stopped() && broken ? BackendOutcome::Abandoned : outcome, bootTime());
}

void RequestRun::Impl::noteLost(const BackendId& id, const std::error_code& error)
{
    const bool unacknowledged = error == std::errc::timed_out;
    note(id, unacknowledged ? BackendOutcome::Unreachable : BackendOutcome::Broken);
    if (!stopped()) {
        // What loses one kept connection mostly loses them all.
        if (m_connection && unacknowledged)
            m_context.pool.forget(m_connection->address());
        LogEvent("attempt_lost", LogLevel::Warning)
            .with("request", m_request.id)
            .with("content", contentText(m_content))
            .with("backend", id)
            .with("error", error.message());
        if (m_connection && m_connection->closedByServer())
            m_broken = BrokenRun { m_request.id, m_content, m_server, m_connection->address(), m_sentAt,
                bootTime(), m_connection->proven(), error == std::errc::connection_reset, m_prefilling,
                m_step, m_laneServer.has_value() };
    }
    dropConnection();
}

AttemptEnd RequestRun::Impl::endOfError(const BackendId& id, const std::error_code& error)
{
    noteLost(id, error);
    ++m_runs;
    return AttemptEnd::MayHaveRun;
}

awaitable<AttemptEnd> RequestRun::Impl::endOfRefusal(
    const BackendId& id, const BackendReply& reply, Deadline deadline)
{
    note(id, reply.wrongBackend ? BackendOutcome::Broken : BackendOutcome::Refused);
    const auto body = co_await m_connection->readWholeBody(mostRefusalBytes, deadline);
    if (body)
        m_context.pool.giveBack(std::move(m_connection));
    dropConnection();
    m_error = ErrorKind::QueueFull;
    co_return AttemptEnd::NotRun;
}

awaitable<Result<std::string>> RequestRun::Impl::readRest(Deadline deadline)
{
    ByteBudget::Share share(m_context.heldBytes);
    const BackendConnection::MayHold mayHold
        = [&share](std::size_t bytes) { return bytes <= mostAnswerBytes && share.setSize(bytes); };
    co_return co_await m_connection->readWholeBody(mayHold, deadline);
}

awaitable<AttemptEnd> RequestRun::Impl::takeWhole(const BackendId& id, BackendReply reply, Deadline deadline)
{
    auto body = co_await readRest(deadline);
    if (!body)
        co_return endOfError(id, body.error());
    // A success without its server's proof is not that server's answer.
    if (reply.success() && !reply.proven)
        co_return endOfError(id, std::make_error_code(std::errc::bad_message));
    m_context.pool.giveBack(std::move(m_connection));
    dropConnection();
    ++m_runs;
    HttpResponseHead head { reply.head.status, m_context.wire.answerFields(reply) };
    if (reply.head.status >= 500) {
        note(id, BackendOutcome::Failed);
        m_failure = OwnAnswer { std::move(head), std::move(body.value()) };
        co_return AttemptEnd::Failed;
    }
    note(id, BackendOutcome::Answered);
    m_context.crashes.noteCompleted(m_content);
    m_outcome = "answered";
    co_await m_sink.sendWhole(std::move(head), std::move(body.value()));
    co_return AttemptEnd::Delivered;
}

awaitable<AttemptEnd> RequestRun::Impl::attemptPlain()
{
    const Choose choose = [this](const Placement::Excluded& excluded) {
        return m_context.placement.choosePlain(m_service, excluded, bootTime());
    };
    const auto choice = co_await chooseServer(choose, m_excluded);
    if (!choice)
        co_return noServer();
    const auto id = choice->backend;
    m_excluded.insert(id);
    m_backend = id;
    const OpenWork work(m_context.backends, id, BackendLoad { 0, 1, 0 });
    const bool connected
        = co_await openConnection(id, m_context.backends.find(id)->record.address, m_deadline);
    if (!connected)
        co_return AttemptEnd::NotRun;
    ++m_arrivals;
    const auto sentAt = bootTime();
    auto reply = co_await exchange(callTo(id), m_deadline);
    if (!reply)
        co_return endOfError(id, reply.error());
    if (reply.value().notRun || reply.value().wrongBackend)
        co_return co_await endOfRefusal(id, reply.value(), m_deadline);
    const auto end = co_await takeWhole(id, std::move(reply.value()), m_deadline);
    if (end == AttemptEnd::Delivered)
        m_context.backends.noteSpeed(id, bootTime() - sentAt, fromMs(choice->workMs));
    co_return end;
}

AttemptEnd RequestRun::Impl::noServer()
{
    m_outOfServers = true;
    if (m_arrivals == 0 && m_error != ErrorKind::CrashingRequestNotRun)
        m_error = ErrorKind::NoEngine;
    return AttemptEnd::NotRun;
}

void RequestRun::Impl::logEnd() const
{
    if (m_context.onRequestEnd)
        m_context.onRequestEnd({ m_route->name, m_callerGone ? "caller_left" : m_outcome,
            bootTime() - m_arrivedAt, std::max(0, m_arrivals - 1) });
    LogEvent("request")
        .with("request", m_request.id)
        .with("route", m_route->name)
        .with("backend", m_backend)
        .with("manifest", m_context.routes.version())
        .with("outcome", m_callerGone ? "caller_left" : m_outcome)
        .with("sent", m_arrivals)
        .with("prefill", m_prefill ? m_prefill->backend : BackendId())
        .with("expected_ms", m_prefill ? static_cast<int>(m_prefill->expectedMs) : 0)
        .with("work_ms", m_prefill ? static_cast<int>(m_prefill->workMs) : 0)
        .with("deferred", m_prefill && m_prefill->deferred)
        .with("shared", m_request.prompt ? m_request.prompt->shared.count() : 0)
        .with("prompt", m_request.prompt ? m_request.prompt->prompt.count() : 0)
        .with("prefill_ms", m_prefilledAt == MonotonicTime() ? -1 : msSince(m_prefilledAt))
        .with("first_ms", m_firstEventAt == MonotonicTime() ? -1 : msSince(m_firstEventAt))
        .with("ms", msSince(bootTime()));
}

std::int64_t RequestRun::Impl::msSince(MonotonicTime at) const
{
    return std::chrono::duration_cast<milliseconds>(at - m_arrivedAt).count();
}

RequestRun::RequestRun(
    ServingContext& context, CallerRequest request, std::shared_ptr<const Route> route, AnswerSink sink)
    : m_impl(std::make_shared<Impl>(context, std::move(request), std::move(route), std::move(sink)))
{
}

RequestRun::~RequestRun() = default;

awaitable<void> RequestRun::run()
{
    const auto impl = m_impl;
    co_await impl->run();
}

void RequestRun::abandon() { m_impl->abandon(); }

} // namespace almondscale
