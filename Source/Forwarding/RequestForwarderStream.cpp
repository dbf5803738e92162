#include "Forwarding/RequestForwarderImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/HttpCaller.h"
#include "Forwarding/Spawn.h"

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // A prefill is given up after three times its expected time plus this.
    constexpr Nanoseconds prefillTimeoutMargin = milliseconds(700);
    // Expected time from the end of a prefill to the first event.
    constexpr Nanoseconds decodeStartAllowance = milliseconds(150);
    // Time without data, after the expected wait for a slot, until a stream without events is
    // retried elsewhere.
    constexpr Nanoseconds streamIdleTimeout = milliseconds(1000);
    // A part that crashes engines does so when they begin to answer, so that answers that go on for longer
    // than this have none.
    constexpr Nanoseconds soundAnswerTime = milliseconds(300);
    // Engines have priorities 0 (highest) to 9.
    constexpr Priority lowestPriority { 9 };
    // An event carries a few tokens.
    constexpr std::size_t maxEventBytes = 64 << 10;
    // A leaving engine runs for at least two more seconds, in which KV caches can be fetched
    // from it.
    constexpr Nanoseconds leavingSourceLifetime = milliseconds(1000);
    // Shorter streams say little about the time between events.
    constexpr std::size_t minTimedEvents = 4;
    // Freeing a KV cache may fail, since it also expires.
    constexpr Nanoseconds kvFreeTimeout = milliseconds(500);

} // namespace

awaitable<AttemptOutcome> RequestForwarder::Impl::attemptStream()
{
    const auto& prompt = *m_request.prompt;
    // A prefill is wasted if no engine can decode in time.
    const bool room = co_await awaitRoom(EngineRole::Decode);
    const auto place = room ? chooseDecode(DataCentre(), m_excluded) : std::nullopt;
    if (!place)
        co_return failNoServer();
    if (fromMs(place->expectedMs) > m_deadline.remaining(bootTime()))
        co_return failDeadlineUnreachable();
    reserveLimited(*place);
    const Choose choose = [this, &prompt](const Placement::Excluded& excluded) {
        return m_context.placement.choosePrefill(m_service, prompt, excluded,
            Deadline(m_arrivedAt + m_route->target - decodeStartAllowance), bootTime());
    };
    // If the prefill engines have no room, a decode engine prefills the prompt.
    co_await awaitRoom(EngineRole::Prefill);
    const auto prefill = co_await chooseServer(choose, m_prefillExcluded);
    if (stopped() || m_outOfServers)
        co_return AttemptOutcome::NotRun;
    if (prefill && !m_lockedServer) {
        const auto direct = m_context.placement.chooseDirect(
            m_service, *m_engine, prompt, m_route->gapTarget, m_excluded, bootTime());
        // A prefill on another engine also has to be transferred.
        if (direct && direct->expectedMs < prefill->expectedMs + m_engine->transferMs(prompt.tokens)) {
            giveBackPermit();
            // A prefill on a decode engine delays the streams in all of its slots.
            m_context.demand.addWork(
                m_service, -cachedWorkMs(), direct->workMs * m_engine->slots, bootTime());
            co_return co_await decode(std::nullopt, DataCentre(), direct);
        }
    }
    std::optional<KvSource> source;
    DataCentre prefillDataCentre;
    if (prefill) {
        if (fromMs(prefill->expectedMs) > m_deadline.remaining(bootTime()))
            co_return failDeadlineUnreachable();
        const auto* engine = m_context.backends.find(prefill->backend);
        prefillDataCentre = engine->record.dataCentre;
        const auto address = engine->record.address;
        auto handle = co_await prefillAt(*prefill, address);
        if (!handle)
            co_return AttemptOutcome::NotRun;
        source = KvSource { address, *handle };
    }
    const auto outcome = co_await decode(source, prefillDataCentre);
    if (source && outcome == AttemptOutcome::NotRun)
        freeKv(*source);
    co_return outcome;
}

void RequestForwarder::Impl::reserveLimited(const PlacementChoice& choice)
{
    auto permit = m_context.backends.admit(choice.backend, bootTime());
    if (permit && permit->counted())
        m_reservation.emplace(Reservation { choice, std::move(*permit) });
}

AttemptOutcome RequestForwarder::Impl::failDeadlineUnreachable()
{
    m_outOfServers = true;
    m_error = ErrorKind::DeadlineUnreachable;
    return AttemptOutcome::NotRun;
}

std::optional<PlacementChoice> RequestForwarder::Impl::chooseDecode(
    const DataCentre& prefillDataCentre, const Placement::Excluded& excluded) const
{
    const StreamRequirements needs { m_context.decodeTimes.firstEventMs(m_route->name),
        m_context.decodeTimes.holdMs(m_route->name), Deadline(m_arrivedAt + m_route->target) };
    return m_context.placement.chooseDecode(
        m_service, *m_engine, *m_request.prompt, needs, prefillDataCentre, excluded, bootTime());
}

double RequestForwarder::Impl::cachedWorkMs() const
{
    const auto& prompt = *m_request.prompt;
    return m_context.speeds.speedOf(m_service).workMs(prompt.tokens, prompt.prefixTokens);
}

awaitable<std::optional<std::string>> RequestForwarder::Impl::prefillAt(
    PlacementChoice choice, Address address)
{
    const auto id = choice.backend;
    m_prefill = choice;
    m_prefillExcluded.insert(id);
    m_backend = id;
    const ScopedLoad work(m_context.backends, id, choice.prefillLoad());
    const auto& prompt = *m_request.prompt;
    m_context.backends.noteSentPrefix(id, prompt.prefixHash, bootTime());
    if (choice.cached < prompt.prefixTokens)
        m_context.demand.addWork(m_service, choice.workMs - cachedWorkMs(), 0, bootTime());
    const auto sentAt = bootTime();
    const auto deadline
        = std::min(m_deadline, Deadline::after(sentAt, 3 * fromMs(choice.expectedMs) + prefillTimeoutMargin));
    const bool connected = co_await openConnection(id, address, deadline);
    if (!connected || !confirmKey())
        co_return std::nullopt;
    auto call = makeCall();
    call.prefillOnly = true;
    if (choice.deferred)
        call.priority = lowestPriority;
    call.lastEventId.clear();
    m_prefillSent = true;
    auto reply = co_await exchange(std::move(call), deadline);
    if (!reply) {
        recordLostAttempt(id, reply.error());
        co_return std::nullopt;
    }
    if (!reply.value().success()) {
        co_await handleRefusal(id, reply.value(), deadline);
        co_return std::nullopt;
    }
    auto body = co_await m_connection->readWholeBody(maxRefusalBytes, deadline);
    if (!body) {
        recordLostAttempt(id, body.error());
        co_return std::nullopt;
    }
    m_context.pool.release(std::move(m_connection));
    dropConnection();
    recordOutcome(id, BackendOutcome::Answered);
    const auto taken = bootTime() - sentAt;
    m_context.backends.noteSpeed(id, taken, fromMs(choice.nominalMs * choice.factor));
    // The time that would have been taken by the typical engine, of which the model is learned.
    m_context.speeds.notePrefill(
        m_service, { m_request.prompt->tokens, choice.cached, choice.queuedMs, toMs(taken) / choice.factor });
    m_context.serverSpeeds.notePrefill(
        m_server, toMs(taken), choice.nominalMs, choice.sampleWeight(), bootTime());
    m_context.crashes.noteCompleted(m_subjects, bootTime(), true);
    m_prefilledAt = bootTime();
    co_return m_context.wire.decodeKvHandle(body.value());
}

awaitable<void> RequestForwarder::Impl::freeKvAt(ServingContext& context, KvSource source)
{
    const auto freed
        = co_await callHttp(context.ownCalls, source.engine, context.wire.encodeFreeHandle(source.handle),
            std::string(), Deadline::after(bootTime(), kvFreeTimeout));
    if (!freed)
        LogEvent("kv_not_freed").with("engine", source.engine.text()).with("error", freed.error().message());
}

void RequestForwarder::Impl::freeKv(const KvSource& source)
{
    spawn(m_context.executor, freeKvAt(m_context, source));
}

awaitable<AttemptOutcome> RequestForwarder::Impl::decode(
    std::optional<KvSource> source, DataCentre prefillDataCentre, std::optional<PlacementChoice> direct)
{
    const auto& prompt = *m_request.prompt;
    std::optional<ScopedLoad> work;
    m_directWork.reset();
    bool deferred = false;
    // The KV cache stays on the prefill engine until a reachable decode engine fetches it.
    for (bool connected = false; !connected;) {
        const Choose choose = [this, &prefillDataCentre, &direct](const Placement::Excluded& excluded) {
            if (direct && excluded.count(direct->backend) == 0)
                return direct;
            if (m_reservation && excluded.count(m_reservation->choice.backend) == 0
                && m_context.backends.maySendTo(m_reservation->choice.backend, bootTime()))
                return std::optional(m_reservation->choice);
            return chooseDecode(prefillDataCentre, excluded);
        };
        const auto choice = co_await chooseServer(choose, m_excluded);
        if (!choice)
            co_return failNoServer();
        m_backend = choice->backend;
        m_decode = choice;
        m_excluded.insert(m_backend);
        work.emplace(m_context.backends, m_backend, choice->streamLoad(prompt.tokens));
        deferred = choice->deferred;
        // Deferred streams yield to all others and may wait until the deadline.
        m_slotWaitUntil = deferred ? m_deadline : Deadline::after(bootTime(), fromMs(choice->queuedMs));
        if (direct && direct->backend == m_backend)
            m_directWork.emplace(m_context.backends, m_backend, BackendLoad { direct->workMs, 0, 0 });
        connected = co_await openConnection(
            m_backend, m_context.backends.find(m_backend)->record.address, m_deadline);
        if (stopped())
            co_return AttemptOutcome::NotRun;
    }
    if ((source && hasSourceExpired()) || !confirmKey())
        co_return AttemptOutcome::NotRun;
    const auto id = m_backend;
    ++m_requestSends;
    auto call = makeCall();
    call.source = std::move(source);
    if (deferred)
        call.priority = lowestPriority;
    const auto deadline = streamDeadline();
    auto reply = co_await exchange(std::move(call), deadline);
    if (!reply)
        co_return failAttempt(id, reply.error());
    if (reply.value().notExecuted || reply.value().wrongBackend)
        co_return co_await handleRefusal(id, reply.value(), deadline);
    if (!reply.value().success() || !reply.value().isSigned) {
        if (!m_headSent)
            co_return co_await handleWholeResponse(id, std::move(reply.value()), deadline);
        co_return failAttempt(id, std::make_error_code(std::errc::bad_message));
    }
    co_return co_await forwardStream(id, std::move(reply.value()));
}

bool RequestForwarder::Impl::hasSourceExpired() const
{
    const auto word = m_context.backends.leavingNotice(m_prefill->backend);
    return word && bootTime() - word->receivedAt > leavingSourceLifetime;
}

Deadline RequestForwarder::Impl::streamDeadline() const
{
    // A started stream is more likely to continue here than elsewhere: engines interrupt streams
    // when they are out of memory, and then the others usually are as well.
    if (m_headSent || !m_route->repeatable() || m_possibleRuns + 1 >= m_route->maxAttempts)
        return m_deadline;
    return std::min(
        m_deadline, Deadline::after(std::max(bootTime(), m_slotWaitUntil.at()), streamIdleTimeout));
}

awaitable<AttemptOutcome> RequestForwarder::Impl::forwardStream(BackendId id, BackendReply reply)
{
    m_eventCutter.discardPartialEvent();
    const auto eventsBefore = m_eventCutter.eventCount();
    std::optional<Deadline> soundAt;
    for (;;) {
        auto piece = co_await m_connection->readBodyChunk(streamDeadline());
        if (!piece)
            co_return failAttempt(id, piece.error());
        const bool last = piece.value().last;
        auto events = m_eventCutter.append(piece.value().bytes);
        // Without this limit an event that never ends would be buffered without bound.
        if (m_eventCutter.partialEventBytes() > maxEventBytes)
            co_return failAttempt(id, std::make_error_code(std::errc::message_size));
        if (!events.empty())
            noteRunBegan(bootTime());
        if (!m_eventCutter.lastId().empty())
            m_lastEvent = m_eventCutter.lastId();
        // A response that ends with its connection ends in the same way if the server terminates before it
        // streams.
        const bool nothingStreamed = events.empty() && !soundAt && m_connection->endsWithResponse();
        const bool brokenOff = last && (m_eventCutter.hasPartialEvent() || nothingStreamed);
        // The head is sent with the first event, so that the request can be retried until then.
        if (!m_headSent && (!events.empty() || (last && !brokenOff))) {
            m_headSent = true;
            m_firstEventAt = bootTime();
            m_directWork.reset();
            HttpResponseHead head { reply.head.status, m_context.wire.answerFields(reply) };
            const bool there = co_await m_writer.beginStream(std::move(head));
            if (!there)
                co_return handleCallerDisconnect();
        }
        if (!events.empty() && !soundAt)
            soundAt = Deadline::after(bootTime(), soundAnswerTime);
        if (!events.empty() && soundAt->passed(bootTime())) {
            soundAt = Deadline::never();
            m_context.crashes.noteAnswered(m_subjects, bootTime());
        }
        if (!events.empty()) {
            const bool there = co_await m_writer.sendChunk(std::move(events));
            if (!there)
                co_return handleCallerDisconnect();
        }
        if (brokenOff)
            co_return failAttempt(id, std::make_error_code(std::errc::connection_aborted));
        if (last)
            break;
    }
    m_context.pool.release(std::move(m_connection));
    dropConnection();
    recordOutcome(id, BackendOutcome::Answered);
    if (m_prefilledAt != MonotonicTime() && m_firstEventAt >= m_sentAt)
        m_context.decodeTimes.noteStream(m_route->name, m_firstEventAt - m_sentAt, bootTime() - m_sentAt);
    if (m_firstEventAt >= m_sentAt)
        noteDecodeSpeed(m_eventCutter.eventCount() - eventsBefore);
    m_context.crashes.noteCompleted(m_subjects, bootTime());
    m_outcome = "answered";
    co_await m_writer.endStream();
    co_return AttemptOutcome::Delivered;
}

void RequestForwarder::Impl::noteDecodeSpeed(std::size_t events)
{
    if (!m_decode || events < minTimedEvents)
        return;
    const double eventMs = toMs(bootTime() - m_firstEventAt) / static_cast<double>(events - 1);
    const double running = std::max(0, m_decode->running) + 1;
    const double expectedMs = m_context.decodePace.eventMs(m_service, running);
    m_context.serverSpeeds.noteDecode(m_server, eventMs, expectedMs, 1, bootTime());
    m_context.decodePace.noteStream(m_service, running, eventMs / m_decode->factor);
}

AttemptOutcome RequestForwarder::Impl::handleCallerDisconnect()
{
    m_callerDisconnected = true;
    dropConnection();
    return AttemptOutcome::Delivered;
}

} // namespace almondscale
