#include "Forwarding/RequestForwarderImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Serving/RequestContent.h"
#include "Serving/RetryAdvice.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Backend servers are in the same region, so a slower connection attempt is lost.
    constexpr Nanoseconds connectTimeout = milliseconds(250);

    constexpr Nanoseconds roomPollInterval = milliseconds(20);

    // Interval at which a response that waits for memory asks again, and how much each read may add.
    constexpr Nanoseconds memoryPollInterval = milliseconds(50);
    constexpr std::size_t responseGrowth = 16 << 10;

    // Maximum random delay added to a server's Retry-After, so that hosts do not return all at once.
    constexpr Nanoseconds maxRetryAfterSpread = milliseconds(500);

    // Retry-After for requests that no server has room for within its limit, and the share by which it is
    // randomly extended.
    constexpr Nanoseconds minRoomRetryAfter = milliseconds(100);
    constexpr Nanoseconds maxRoomRetryAfter = std::chrono::seconds(30);
    constexpr double maxRoomWaitSpread = 0.5;
    // Expected waits are clamped to an hour, since a share of a limit may be close to 0.
    constexpr double maxRoomWaitMs = 3600e3;

    // A connection that is accepted without a server behind it is closed within this time.
    constexpr Nanoseconds closeDetectionTime = milliseconds(20);

    std::uint64_t drawOf(const CallerRequestId& id) { return std::hash<std::string>()(id.text()); }

} // namespace

RequestForwarder::Impl::Impl(
    ServingContext& context, CallerRequest request, std::shared_ptr<const Route> route, ResponseWriter writer)
    : m_context(context)
    , m_request(std::move(request))
    , m_route(std::move(route))
    , m_writer(std::move(writer))
    , m_service(drawService(*m_route, drawOf(m_request.id)))
    , m_arrivedAt(bootTime())
    , m_manifest(m_context.manifestNow())
    , m_deadline(Deadline::after(
          m_arrivedAt, std::min(m_request.timeout.value_or(m_route->timeout), m_route->timeout)))
    , m_deadlineTimer(m_context.executor)
    , m_subjects(subjectsOf(m_request))
    , m_memory(m_context.memory, 0, MemoryPhase::Running, m_arrivedAt,
          { {}, [this](MemoryEnd) { m_endedForMemory = true; } })
    , m_lastEvent(m_request.lastEventId)
{
    ++m_context.openRequests;
    noteDecision(m_context, m_manifest, "routed");
}

awaitable<void> RequestForwarder::Impl::run()
{
    if (m_context.shutdown && !m_context.shutdown->allows(m_deadline)) {
        co_await refuse(ErrorKind::ShuttingDown);
        logSummary();
        co_return;
    }
    m_context.retries.onRequest(m_service, m_arrivedAt);
    m_context.backends.limits().onRequest(m_service, m_arrivedAt);
    startDeadlineTimer();
    const auto* spec = m_context.routes.service(m_service);
    if (spec && spec->engine && m_request.prompt) {
        m_engine = *spec->engine;
        const auto& prompt = *m_request.prompt;
        m_context.demand.onRequest(
            m_service, prompt, cachedWorkMs(), m_context.decodeTimes.holdMs(m_route->name), m_arrivedAt);
        if (exceedsShare())
            co_await refuse(ErrorKind::QueueFull);
        else
            co_await runAttempts([this] { return attemptStream(); });
    } else {
        co_await runAttempts([this] { return attemptPlain(); });
    }
    m_deadlineTimer.cancel();
    notePossibleRun();
    logSummary();
}

bool RequestForwarder::Impl::exceedsShare()
{
    if (m_request.organisation.empty())
        return false;
    const double workMs = cachedWorkMs() + m_context.speeds.speedOf(m_service).requestMs
        + m_context.decodeTimes.holdMs(m_route->name) / std::max(1, m_engine->slots);
    m_exceedsShare = !m_context.shares[m_service].admit(
        m_request.organisation, m_request.priority.value_or(m_route->priority), workMs, m_arrivedAt);
    return m_exceedsShare;
}

void RequestForwarder::Impl::noteScarcity(ErrorKind kind)
{
    // A request that is refused for lack of capacity. Nothing less counts, because an expected time may be
    // wrong, and refusing the requests of some would then be a loss for all.
    const bool scarce = kind == ErrorKind::DeadlineUnreachable || kind == ErrorKind::QueueFull;
    if (!scarce || !m_engine || m_exceedsShare || m_request.organisation.empty())
        return;
    m_context.shares[m_service].onScarce(m_request.priority.value_or(m_route->priority), bootTime());
}

void RequestForwarder::Impl::startDeadlineTimer()
{
    m_deadlineTimer.expires_after(m_deadline.remaining(bootTime()));
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        if (const auto self = error ? nullptr : weak.lock())
            self->stop(self->m_deadlinePassed);
    });
}

void RequestForwarder::Impl::endBy(Deadline deadline)
{
    if (!(deadline < m_deadline))
        return;
    m_deadline = deadline;
    startDeadlineTimer();
}

void RequestForwarder::Impl::stop(bool& reason)
{
    reason = true;
    if (m_connection)
        m_connection->close();
}

awaitable<void> RequestForwarder::Impl::runAttempts(Attempt attempt)
{
    while (!refusedForCrashes()) {
        const auto outcome = co_await attempt();
        giveBackPermit();
        giveBackReservation();
        if (outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::Failed)
            m_mayHaveRun = true;
        const bool over = outcome == AttemptOutcome::Delivered || stopped();
        const bool again = !over && !m_outOfServers && tryStartRetry();
        co_await handleBrokenRun(again);
        releaseSuspectLock();
        if (outcome == AttemptOutcome::Delivered || m_callerDisconnected)
            co_return;
        if (!again)
            break;
    }
    co_await sendFailure();
}

bool RequestForwarder::Impl::tryStartRetry()
{
    if (m_mayHaveRun && !m_route->repeatable())
        return false;
    // An attempt without a connection sent nothing and is not limited here; each server is tried once.
    const bool sent = std::exchange(m_sentInAttempt, false);
    if (m_possibleRuns >= m_route->maxAttempts || (sent && ++m_furtherAttempts > m_route->maxAttempts))
        return false;
    // A repeated prefill costs as much as a repeated run.
    const int sends = (m_requestSends > 0 ? 1 : 0) + (m_prefillSent ? 1 : 0);
    if (sent && sends > 0 && !m_context.retries.tryRetry(m_service, bootTime(), sends)) {
        m_error = ErrorKind::RetryBudgetSpent;
        return false;
    }
    return true;
}

awaitable<void> RequestForwarder::Impl::sendFailure()
{
    if (m_headSent) {
        m_outcome = "broken_off";
        m_writer.abort();
        co_return;
    }
    if (m_failure && !m_deadlinePassed) {
        m_outcome = "server_failed";
        co_await m_writer.sendResponse(std::move(m_failure->head), std::move(m_failure->body));
        co_return;
    }
    ErrorKind kind = m_error;
    if (m_mayHaveRun)
        kind = m_deadlinePassed ? ErrorKind::DeadlinePassed : ErrorKind::AnswerLost;
    else if (m_deadlinePassed)
        kind = ErrorKind::DeadlineUnreachable;
    co_await refuse(kind);
}

awaitable<void> RequestForwarder::Impl::refuse(ErrorKind kind)
{
    noteScarcity(kind);
    m_outcome = errorName(kind);
    auto answer = m_context.wire.encodeError(kind, refusalRetryAfter(kind));
    co_await m_writer.sendResponse(std::move(answer.head), std::move(answer.body));
}

std::optional<Nanoseconds> RequestForwarder::Impl::refusalRetryAfter(ErrorKind kind) const
{
    const auto now = bootTime();
    if (kind == ErrorKind::CrashingRequestNotRun)
        return m_context.crashes.refusedUntil(m_verdict.subject).remaining(now);
    // If all servers are paused, use the end of the first pause.
    const bool noServer = kind == ErrorKind::NoEngine || kind == ErrorKind::QueueFull;
    const auto barEnd = noServer ? m_context.backends.earliestBackoffEnd(m_service, now) : std::nullopt;
    if (barEnd && m_context.backends.usable(m_service, now).empty())
        return barEnd->remaining(now);
    const auto role = m_engine ? std::optional(EngineRole::Decode) : std::nullopt;
    const auto roomWait
        = noServer ? expectedRoomWait(role, m_context.roomQueue.size({ m_service, role })) : std::nullopt;
    if (!roomWait || !m_context.backends.usable(m_service, now, role).empty())
        return retryAfter(kind);
    // Spread the return of callers that are refused at the same time.
    const double spread = 1 + maxRoomWaitSpread * uniform(m_context.random);
    return std::clamp(fromMs(toMs(*roomWait) * spread), minRoomRetryAfter, maxRoomRetryAfter);
}

awaitable<bool> RequestForwarder::Impl::openConnection(BackendId id, Address address, Deadline deadline)
{
    m_context.backends.noteAttempt(id, bootTime());
    m_connection = m_context.pool.take(address);
    if (m_connection && m_context.backends.maySendTo(id, bootTime()))
        co_return true;
    if (m_connection) {
        m_context.pool.release(std::move(m_connection));
        co_return false;
    }
    if (m_context.maxServerConnections
        && m_context.pool.openCount() + m_context.ownCalls.openCount() >= *m_context.maxServerConnections)
        co_return false;
    m_connection = m_context.pool.create(address);
    auto error
        = co_await m_connection->connect(std::min(deadline, Deadline::after(bootTime(), connectTimeout)));
    if (!error && m_lockedServer) {
        // Otherwise a connection that was already broken would be blamed on the suspect.
        co_await sleepFor(closeDetectionTime);
        if (m_connection->closedByServer())
            error = std::make_error_code(std::errc::connection_reset);
    }
    // While connecting, the server may have announced its leaving or asked for a pause.
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

awaitable<Result<BackendReply>> RequestForwarder::Impl::exchange(BackendCall call, Deadline deadline)
{
    const auto head = m_context.wire.encodeCall(m_request, call);
    const auto* backend = m_context.backends.find(call.backend());
    m_server = backend ? lifetimeOf(backend->record) : call.permit.server();
    m_sentAt = bootTime();
    m_context.backends.onSend(call.permit, m_sentAt);
    if (call.permit.counted() && m_context.onLimitedSend)
        m_context.onLimitedSend();
    const bool undiagnosed = m_diagnosed && !*m_diagnosed;
    m_prefilling = call.prefillOnly;
    auto steps = m_context.crashes.nextSteps(m_subjects);
    for (std::size_t i = 0; undiagnosed && i < steps.size(); ++i)
        steps[i] = std::max(steps[i], m_steps.at(i) + 1);
    m_steps = std::move(steps);
    m_sentInAttempt = true;
    // On a connection that was in use before, a response without a request id may be a late duplicate.
    const bool firstUse = !m_connection->hasReadResponse();
    const auto error = co_await m_connection->send(head, m_request.body, deadline);
    if (error)
        co_return error;
    // A duplicate response to an earlier request may precede this one; its request id differs.
    constexpr int maxStrayResponses = 2;
    for (int strayResponses = 0;; ++strayResponses) {
        auto read = co_await m_connection->readHead(head.method == "HEAD", deadline);
        if (!read)
            co_return read.error();
        auto reply = m_context.wire.decodeReply(std::move(read.value()));
        const bool unnamed = reply.requestId.empty() && !reply.isSigned;
        if (reply.requestId == m_request.id.text() || (unnamed && firstUse)) {
            if (!reply.wrongBackend)
                applyServerState(reply);
            co_return reply;
        }
        if (strayResponses == maxStrayResponses)
            co_return std::make_error_code(std::errc::bad_message);
        auto skipped = co_await readRemainingBody(deadline);
        if (!skipped)
            co_return skipped.error();
    }
}

void RequestForwarder::Impl::applyServerState(const BackendReply& reply)
{
    m_context.crashes.noteAlive(m_server, m_sentAt);
    if (reply.leaving && m_context.backends.noteLeaving(m_server, { bootTime(), true })) {
        LogEvent("server_leaving").with("request", m_request.id).with("backend", m_server.backend);
        if (m_context.onServerLeaving)
            m_context.onServerLeaving(m_server);
    }
    if (!reply.limitUnreadable
        && m_context.backends.limits().noteResponse(m_server, reply.limit, m_sentAt, bootTime())
        && m_context.onLimitChanged)
        m_context.onLimitChanged();
    if (!reply.retryAfter)
        return;
    // Spread the return of hosts that were given the same Retry-After.
    const auto spread = std::min(*reply.retryAfter / 10, maxRetryAfterSpread);
    const auto now = bootTime();
    const auto until = Deadline::after(now,
        *reply.retryAfter
            + Nanoseconds(
                static_cast<std::int64_t>(uniform(m_context.random) * static_cast<double>(spread.count()))));
    if (!m_context.backends.noteBackoff(m_server, until, now))
        return;
    const auto barred = std::chrono::duration_cast<milliseconds>(until.remaining(now));
    LogEvent("server_barred")
        .with("request", m_request.id)
        .with("backend", m_server.backend)
        .with("ms", barred.count());
    if (m_context.onServerBarred)
        m_context.onServerBarred(m_server);
}

bool RequestForwarder::Impl::confirmKey()
{
    const auto refusal = authenticate(m_context, m_request, *m_route);
    if (refusal == ErrorKind::None)
        return true;
    releaseUnused();
    m_outOfServers = true;
    // Once something was sent, the caller is not told that its key is wrong; the repeated request is.
    const bool sent = m_requestSends > 0 || m_prefillSent;
    if (!sent || refusal == ErrorKind::ManifestTooOld)
        m_error = refusal;
    return false;
}

void RequestForwarder::Impl::releaseUnused()
{
    m_context.pool.addUnused(std::move(m_connection));
    m_connection.reset();
}

BackendCall RequestForwarder::Impl::makeCall()
{
    BackendCall call(std::move(*m_permit));
    m_permit.reset();
    call.remaining = m_deadline.remaining(bootTime());
    call.lastEventId = m_lastEvent;
    if (m_request.prompt)
        call.priority = effectivePriority();
    return call;
}

void RequestForwarder::Impl::dropConnection()
{
    if (m_connection)
        m_connection->close();
    m_connection.reset();
}

void RequestForwarder::Impl::recordOutcome(const BackendId& id, BackendOutcome outcome)
{
    // stop() closes the connection, which is no fault of the server.
    const bool broken = outcome == BackendOutcome::ConnectionLost || outcome == BackendOutcome::Unreachable;
    m_context.backends.noteOutcome(id, stopped() && broken ? BackendOutcome::Abandoned : outcome, bootTime());
}

void RequestForwarder::Impl::recordLostAttempt(const BackendId& id, const std::error_code& error)
{
    const bool unacknowledged = error == std::errc::timed_out;
    recordOutcome(id, unacknowledged ? BackendOutcome::Unreachable : BackendOutcome::ConnectionLost);
    if (!stopped()) {
        // The loss of one connection without acknowledgement usually affects the idle ones too.
        if (m_connection && unacknowledged)
            m_context.pool.closeIdle(m_connection->address());
        LogEvent("attempt_lost", LogLevel::Warning)
            .with("request", m_request.id)
            .with("content", contentText(m_subjects.content))
            .with("parts", partsOfPrompt())
            .with("backend", id)
            .with("error", error.message());
        if (m_connection && m_connection->closedByServer())
            m_brokenRun = BrokenRun { m_request.id, m_subjects, m_server, m_connection->address(), m_sentAt,
                bootTime(), m_connection->hasReadResponse(), error == std::errc::connection_reset,
                m_prefilling, m_steps, m_lockedServer.has_value() };
    }
    dropConnection();
}

AttemptOutcome RequestForwarder::Impl::failAttempt(const BackendId& id, const std::error_code& error)
{
    m_possibleRunAt = m_sentAt;
    recordLostAttempt(id, error);
    ++m_possibleRuns;
    return AttemptOutcome::MayHaveRun;
}

void RequestForwarder::Impl::noteRunBegan(MonotonicTime began)
{
    // A stream that the caller resumes began to run when it was first requested.
    const bool resumed = !m_request.lastEventId.empty();
    if (resumed || m_request.organisation.empty() || std::exchange(m_runNoted, true))
        return;
    if (m_context.onRunBegan)
        m_context.onRunBegan(m_request.organisation, began);
}

void RequestForwarder::Impl::notePossibleRun()
{
    // A stream whose caller left before its first event has not begun, as far as anyone has seen.
    if (m_possibleRunAt != MonotonicTime() && !(m_engine && m_callerDisconnected))
        noteRunBegan(m_possibleRunAt);
}

awaitable<AttemptOutcome> RequestForwarder::Impl::handleRefusal(
    const BackendId& id, const BackendReply& reply, Deadline deadline)
{
    const auto server = m_server;
    recordOutcome(id, reply.wrongBackend ? BackendOutcome::ConnectionLost : BackendOutcome::Refused);
    if (reply.wrongBackend && m_context.onWrongServer)
        m_context.onWrongServer(server);
    const auto body = co_await m_connection->readWholeBody(maxRefusalBytes, deadline);
    if (body)
        m_context.pool.release(std::move(m_connection));
    dropConnection();
    m_error = ErrorKind::QueueFull;
    co_return AttemptOutcome::NotRun;
}

awaitable<Result<std::string>> RequestForwarder::Impl::readRemainingBody(Deadline deadline)
{
    m_memory.setPhase(MemoryPhase::Buffering, bootTime());
    const BackendConnection::AwaitRoom awaitRoom
        = [this, deadline](const std::string& body) { return awaitMemory(body, deadline); };
    auto body = co_await m_connection->readWholeBody(awaitRoom, deadline);
    m_memory.setPhase(MemoryPhase::Running, bootTime());
    if (!body)
        m_memory.setBytes(0);
    co_return body;
}

awaitable<bool> RequestForwarder::Impl::awaitMemory(const std::string& body, Deadline deadline)
{
    if (body.size() > maxResponseBytes)
        co_return false;
    const auto rest = m_connection->remainingBodyBytes();
    m_memory.setBytes(body.capacity(), rest.value_or(maxResponseBytes - body.size()));
    m_memory.noteProgress(bootTime());
    const auto growth = responseGrowth + std::min(body.capacity() / 4, rest.value_or(maxResponseBytes));
    while (!stopped() && !deadline.passed(bootTime())) {
        if (rest == std::size_t(0) || m_memory.mayGrow(growth, bootTime()))
            co_return true;
        co_await sleepFor(memoryPollInterval);
    }
    co_return false;
}

awaitable<AttemptOutcome> RequestForwarder::Impl::handleWholeResponse(
    const BackendId& id, BackendReply reply, Deadline deadline)
{
    // A server begins with a plain request about when it arrives, so the time of sending is closer than that
    // of the response.
    if (!reply.success() || reply.isSigned)
        noteRunBegan(m_sentAt);
    auto body = co_await readRemainingBody(deadline);
    if (!body)
        co_return failAttempt(id, body.error());
    // A success without the server's signature did not come from that server.
    if (reply.success() && !reply.isSigned)
        co_return failAttempt(id, std::make_error_code(std::errc::bad_message));
    m_context.pool.release(std::move(m_connection));
    dropConnection();
    ++m_possibleRuns;
    HttpResponseHead head { reply.head.status, m_context.wire.answerFields(reply) };
    if (reply.head.status >= 500) {
        recordOutcome(id, BackendOutcome::Failed);
        m_failure = LocalResponse { std::move(head), std::move(body.value()) };
        co_return AttemptOutcome::Failed;
    }
    recordOutcome(id, BackendOutcome::Answered);
    // Other responses do not show that the server began to answer the prompt.
    if (reply.success())
        m_context.crashes.noteCompleted(m_subjects, bootTime());
    else
        m_context.crashes.noteCompleted(m_subjects.content);
    m_outcome = "answered";
    co_await m_writer.sendResponse(std::move(head), std::move(body.value()));
    co_return AttemptOutcome::Delivered;
}

awaitable<AttemptOutcome> RequestForwarder::Impl::attemptPlain()
{
    const Choose choose = [this](const Placement::Excluded& excluded) {
        return m_context.placement.choosePlain(m_service, excluded, bootTime());
    };
    std::optional<PlacementChoice> choice;
    if (co_await awaitRoom(std::nullopt))
        choice = co_await chooseServer(choose, m_excluded);
    if (!choice)
        co_return failNoServer();
    const auto id = choice->backend;
    m_excluded.insert(id);
    m_backend = id;
    const ScopedLoad work(m_context.backends, id, BackendLoad { 0, 1, 0 });
    const bool connected
        = co_await openConnection(id, m_context.backends.find(id)->record.address, m_deadline);
    if (!connected || !confirmKey())
        co_return AttemptOutcome::NotRun;
    ++m_requestSends;
    const auto sentAt = bootTime();
    auto reply = co_await exchange(makeCall(), m_deadline);
    if (!reply)
        co_return failAttempt(id, reply.error());
    if (reply.value().notExecuted || reply.value().wrongBackend)
        co_return co_await handleRefusal(id, reply.value(), m_deadline);
    const auto outcome = co_await handleWholeResponse(id, std::move(reply.value()), m_deadline);
    if (outcome == AttemptOutcome::Delivered) {
        const auto taken = bootTime() - sentAt;
        m_context.backends.noteSpeed(id, taken, fromMs(choice->workMs * choice->factor));
        m_context.serverSpeeds.noteDecode(
            m_server, toMs(taken), choice->nominalMs, choice->sampleWeight(), bootTime());
    }
    co_return outcome;
}

std::optional<Nanoseconds> RequestForwarder::Impl::expectedRoomWait(
    std::optional<EngineRole> role, std::size_t ahead) const
{
    const auto rate = m_context.backends.limitedRate(m_service, bootTime(), role);
    if (!rate)
        return std::nullopt;
    const double waitMs = 1000 * static_cast<double>(ahead + 1) / rate->perSecond();
    return fromMs(std::min(waitMs, maxRoomWaitMs));
}

awaitable<bool> RequestForwarder::Impl::awaitRoom(std::optional<EngineRole> role)
{
    if (!m_context.backends.limitedRate(m_service, bootTime(), role))
        co_return true;
    const auto target = std::min(m_deadline, Deadline(m_arrivedAt + m_route->target));
    const RoomQueue::Place place(m_context.roomQueue, { m_service, role }, effectivePriority());
    while (!stopped()) {
        const auto now = bootTime();
        const auto servers = m_context.backends.usable(m_service, now, role);
        const bool unlimited = std::any_of(servers.begin(), servers.end(), [this](const Backend* server) {
            return !m_context.backends.limits().isLimited(lifetimeOf(server->record));
        });
        if (unlimited || (place.isFirst() && !servers.empty()))
            co_return true;
        const auto wait = expectedRoomWait(role, place.ahead());
        if (!wait)
            co_return true;
        if (*wait > target.remaining(now))
            break;
        co_await sleepFor(roomPollInterval);
    }
    co_return false;
}

bool RequestForwarder::Impl::takePermit(const BackendId& id)
{
    if (m_reservation && m_reservation->choice.backend == id) {
        m_permit.emplace(std::move(m_reservation->permit));
        m_reservation.reset();
        return true;
    }
    giveBackPermit();
    m_permit = m_context.backends.admit(id, bootTime());
    return m_permit.has_value();
}

void RequestForwarder::Impl::giveBackPermit()
{
    if (m_permit)
        m_context.backends.giveBack(std::move(*m_permit), bootTime());
    m_permit.reset();
}

void RequestForwarder::Impl::giveBackReservation()
{
    if (m_reservation)
        m_context.backends.giveBack(std::move(m_reservation->permit), bootTime());
    m_reservation.reset();
}

AttemptOutcome RequestForwarder::Impl::failNoServer()
{
    m_outOfServers = true;
    if (m_requestSends == 0 && m_error != ErrorKind::CrashingRequestNotRun)
        m_error = ErrorKind::NoEngine;
    return AttemptOutcome::NotRun;
}

void RequestForwarder::Impl::logSummary() const
{
    if (m_context.onRequestEnd)
        m_context.onRequestEnd({ m_route->name, m_callerDisconnected ? "caller_left" : m_outcome,
            bootTime() - m_arrivedAt, std::max(0, m_requestSends - 1) });
    LogEvent event("request");
    event.with("request", m_request.id).with("route", m_route->name);
    if (m_context.routes.organisations())
        event.with("organisation", m_request.organisation);
    event.with("backend", m_backend).with("service", m_service);
    addManifest(event, m_manifest)
        .with("outcome", m_callerDisconnected ? "caller_left" : m_outcome)
        .with("sent", m_requestSends)
        .with("prefill", m_prefill ? m_prefill->backend : BackendId())
        .with("expected_ms", m_prefill ? static_cast<int>(m_prefill->expectedMs) : 0)
        .with("work_ms", m_prefill ? static_cast<int>(m_prefill->workMs) : 0)
        .with("deferred", m_prefill && m_prefill->deferred)
        .with("shared", m_request.prompt ? m_request.prompt->prefixTokens.count() : 0)
        .with("prompt", m_request.prompt ? m_request.prompt->tokens.count() : 0)
        .with("parts", partsOfPrompt())
        .with("prefill_ms", m_prefilledAt == MonotonicTime() ? -1 : msSince(m_prefilledAt))
        .with("first_ms", m_firstEventAt == MonotonicTime() ? -1 : msSince(m_firstEventAt))
        .with("ms", msSince(bootTime()));
}

std::string RequestForwarder::Impl::partsOfPrompt() const
{
    return m_request.prompt ? partsText(m_request.prompt->parts) : std::string();
}

std::int64_t RequestForwarder::Impl::msSince(MonotonicTime at) const
{
    return std::chrono::duration_cast<milliseconds>(at - m_arrivedAt).count();
}

RequestForwarder::RequestForwarder(
    ServingContext& context, CallerRequest request, std::shared_ptr<const Route> route, ResponseWriter writer)
    : m_impl(std::make_shared<Impl>(context, std::move(request), std::move(route), std::move(writer)))
{
}

RequestForwarder::~RequestForwarder() = default;

awaitable<void> RequestForwarder::run()
{
    const auto impl = m_impl;
    co_await impl->run();
}

void RequestForwarder::cancel() { m_impl->cancel(); }

void RequestForwarder::endBy(Deadline deadline) { m_impl->endBy(deadline); }

} // namespace almondscale
