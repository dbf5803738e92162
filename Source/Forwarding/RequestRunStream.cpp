#include "Forwarding/RequestRunImpl.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/HttpCaller.h"
#include "Forwarding/Spawn.h"

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // A call for a prefill is taken as lost after three times what it should take and this.
    constexpr Nanoseconds prefillSlack = milliseconds(700);
    // From the end of a prefill to the first event of the answer.
    constexpr Nanoseconds decodeTime = milliseconds(150);
    // A decode engine that is silent for this long beyond the wait for a place, before the first
    // event of a request that may go elsewhere.
    constexpr Nanoseconds streamSilence = milliseconds(1000);
    // Of the priorities that engines know, 0 to 9, the one that yields to all others.
    constexpr Priority leastUrgent { 9 };
    // An event carries some tokens.
    constexpr std::size_t mostEventBytes = 64 << 10;
    // An engine that says that it leaves goes on for two seconds at least; what it has read may
    // be fetched from it until then.
    constexpr Nanoseconds leavingSourceTime = milliseconds(1000);
    // Time for freeing a KV cache, which expires by itself.
    constexpr Nanoseconds freeTime = milliseconds(500);

} // namespace

awaitable<AttemptEnd> RequestRun::Impl::attemptStream()
{
    const auto& prompt = *m_request.prompt;
    // Without an engine to decode in time, a prefill would be work for nothing.
    const auto place = chooseDecode(DataCentre(), m_excluded);
    if (!place)
        co_return noServer();
    if (fromMs(place->expectedMs) > m_deadline.remaining(bootTime()))
        co_return tooLate();
    const Choose choose = [this, &prompt](const Placement::Excluded& excluded) {
        return m_context.placement.choosePrefill(
            m_service, prompt, excluded, Deadline(m_arrivedAt + m_route->target - decodeTime), bootTime());
    };
    const auto prefill = co_await chooseServer(choose, m_prefillExcluded);
    if (stopped() || m_outOfServers)
        co_return AttemptEnd::NotRun;
    if (prefill && !m_laneServer) {
        const auto direct = m_context.placement.chooseDirect(
            m_service, *m_engine, prompt, m_route->gapTarget, m_excluded, bootTime());
        if (direct && direct->expectedMs < prefill->expectedMs) {
            // The reading stops all streams of that engine, as many as there are places for.
            m_context.demand.addWork(
                m_service, -cachedWorkMs(), direct->workMs * m_engine->slots, bootTime());
            co_return co_await decode(std::nullopt, DataCentre(), direct);
        }
    }
    std::optional<KvSource> source;
    DataCentre prefilledIn;
    if (prefill) {
        if (fromMs(prefill->expectedMs) > m_deadline.remaining(bootTime()))
            co_return tooLate();
        const auto* engine = m_context.backends.find(prefill->backend);
        prefilledIn = engine->record.dataCentre;
        const auto address = engine->record.address;
        auto handle = co_await prefillAt(*prefill, address);
        if (!handle)
            co_return AttemptEnd::NotRun;
        source = KvSource { address, *handle };
    }
    const auto end = co_await decode(source, prefilledIn);
    if (source && end == AttemptEnd::NotRun)
        freeHandle(*source);
    co_return end;
}

AttemptEnd RequestRun::Impl::tooLate()
{
    m_outOfServers = true;
    m_error = ErrorKind::DeadlineUnreachable;
    return AttemptEnd::NotRun;
}

std::optional<PlacementChoice> RequestRun::Impl::chooseDecode(
    const DataCentre& prefilledIn, const Placement::Excluded& excluded) const
{
    const StreamRequirements needs { m_context.decodeTimes.firstEventMs(m_route->name),
        m_context.decodeTimes.holdMs(m_route->name), Deadline(m_arrivedAt + m_route->target) };
    return m_context.placement.chooseDecode(
        m_service, *m_engine, *m_request.prompt, needs, prefilledIn, excluded, bootTime());
}

double RequestRun::Impl::cachedWorkMs() const
{
    const auto& prompt = *m_request.prompt;
    return m_context.speeds.speedOf(m_service).workMs(prompt.tokens, prompt.prefixTokens);
}

awaitable<std::optional<std::string>> RequestRun::Impl::prefillAt(PlacementChoice choice, Address address)
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
        = std::min(m_deadline, Deadline::after(sentAt, 3 * fromMs(choice.expectedMs) + prefillSlack));
    const bool connected = co_await openConnection(id, address, deadline);
    if (!connected)
        co_return std::nullopt;
    auto call = callTo(id);
    call.prefillOnly = true;
    if (choice.deferred)
        call.priority = leastUrgent;
    call.lastEventId.clear();
    m_prefillSent = true;
    auto reply = co_await exchange(call, deadline);
    if (!reply) {
        noteLost(id, reply.error());
        co_return std::nullopt;
    }
    if (!reply.value().success()) {
        co_await endOfRefusal(id, reply.value(), deadline);
        co_return std::nullopt;
    }
    auto body = co_await m_connection->readWholeBody(mostRefusalBytes, deadline);
    if (!body) {
        noteLost(id, body.error());
        co_return std::nullopt;
    }
    m_context.pool.giveBack(std::move(m_connection));
    dropConnection();
    note(id, BackendOutcome::Answered);
    const auto taken = bootTime() - sentAt;
    m_context.backends.noteSpeed(id, taken, fromMs(choice.nominalMs));
    m_context.speeds.notePrefill(
        m_service, { m_request.prompt->tokens, choice.cached, choice.queuedMs, toMs(taken) });
    m_context.crashes.noteCompleted(m_content, true);
    m_prefilledAt = bootTime();
    co_return m_context.wire.decodeKvHandle(body.value());
}

awaitable<void> RequestRun::Impl::freeAt(ServingContext& context, KvSource source)
{
    const auto freed = co_await callHttp(context.ownCalls, source.engine,
        context.wire.encodeFreeHandle(source.handle), std::string(), Deadline::after(bootTime(), freeTime));
    if (!freed)
        LogEvent("kv_not_freed").with("engine", source.engine.text()).with("error", freed.error().message());
}

void RequestRun::Impl::freeHandle(const KvSource& source)
{
    spawn(m_context.executor, freeAt(m_context, source));
}

awaitable<AttemptEnd> RequestRun::Impl::decode(
    std::optional<KvSource> source, DataCentre prefilledIn, std::optional<PlacementChoice> direct)
{
    const auto& prompt = *m_request.prompt;
    std::optional<ScopedLoad> work;
    m_directWork.reset();
    bool deferred = false;
    // The cache of a prefill stays where it is until an engine that can be reached takes it.
    for (bool connected = false; !connected;) {
        const Choose choose = [this, &prefilledIn, &direct](const Placement::Excluded& excluded) {
            if (direct && excluded.count(direct->backend) == 0)
                return direct;
            return chooseDecode(prefilledIn, excluded);
        };
        const auto choice = co_await chooseServer(choose, m_excluded);
        if (!choice)
            co_return noServer();
        m_backend = choice->backend;
        m_excluded.insert(m_backend);
        work.emplace(m_context.backends, m_backend, choice->streamLoad(prompt.tokens));
        deferred = choice->deferred;
        // Those that yield wait for as long as others come.
        m_placeBy = deferred ? m_deadline : Deadline::after(bootTime(), fromMs(choice->queuedMs));
        if (direct && direct->backend == m_backend)
            m_directWork.emplace(m_context.backends, m_backend, BackendLoad { direct->workMs, 0, 0 });
        connected = co_await openConnection(
            m_backend, m_context.backends.find(m_backend)->record.address, m_deadline);
        if (stopped())
            co_return AttemptEnd::NotRun;
    }
    if (source && sourceHasLeft())
        co_return AttemptEnd::NotRun;
    const auto id = m_backend;
    ++m_arrivals;
    auto call = callTo(id);
    call.source = std::move(source);
    if (deferred)
        call.priority = leastUrgent;
    const auto deadline = silenceDeadline();
    auto reply = co_await exchange(call, deadline);
    if (!reply)
        co_return endOfError(id, reply.error());
    if (reply.value().notExecuted || reply.value().wrongBackend)
        co_return co_await endOfRefusal(id, reply.value(), deadline);
    if (!reply.value().success() || !reply.value().isSigned) {
        if (!m_headSent)
            co_return co_await takeWhole(id, std::move(reply.value()), deadline);
        co_return endOfError(id, std::make_error_code(std::errc::bad_message));
    }
    co_return co_await forwardStream(id, std::move(reply.value()));
}

bool RequestRun::Impl::sourceHasLeft() const
{
    const auto word = m_context.backends.leavingNotice(m_prefill->backend);
    return word && bootTime() - word->receivedAt > leavingSourceTime;
}

Deadline RequestRun::Impl::silenceDeadline() const
{
    // What has begun goes on after a pause more surely than elsewhere: an engine without room
    // interrupts streams, and then no other has any.
    if (m_headSent || !m_route->repeatable() || m_runs + 1 >= m_route->maxAttempts)
        return m_deadline;
    return std::min(m_deadline, Deadline::after(std::max(bootTime(), m_placeBy.at()), streamSilence));
}

awaitable<AttemptEnd> RequestRun::Impl::forwardStream(BackendId id, BackendReply reply)
{
    m_cutter.discardPartialEvent();
    for (;;) {
        auto piece = co_await m_connection->readBody(silenceDeadline());
        if (!piece)
            co_return endOfError(id, piece.error());
        const bool last = piece.value().last;
        auto events = m_cutter.append(piece.value().bytes);
        // Bytes that end no event are no answer.
        if (m_cutter.partialEventBytes() > mostEventBytes)
            co_return endOfError(id, std::make_error_code(std::errc::message_size));
        if (!m_cutter.lastId().empty())
            m_lastEvent = m_cutter.lastId();
        // The head waits for the first event, so that the request can go elsewhere until then.
        if (!m_headSent && (!events.empty() || last)) {
            m_headSent = true;
            m_firstEventAt = bootTime();
            m_directWork.reset();
            HttpResponseHead head { reply.head.status, m_context.wire.answerFields(reply) };
            const bool there = co_await m_sink.beginStream(std::move(head));
            if (!there)
                co_return leftMidway();
        }
        if (!events.empty()) {
            const bool there = co_await m_sink.sendPiece(std::move(events));
            if (!there)
                co_return leftMidway();
        }
        if (last)
            break;
    }
    if (m_cutter.hasPartialEvent())
        co_return endOfError(id, std::make_error_code(std::errc::message_size));
    m_context.pool.giveBack(std::move(m_connection));
    dropConnection();
    note(id, BackendOutcome::Answered);
    if (m_prefilledAt != MonotonicTime() && m_firstEventAt >= m_sentAt)
        m_context.decodeTimes.noteStream(m_route->name, m_firstEventAt - m_sentAt, bootTime() - m_sentAt);
    m_context.crashes.noteCompleted(m_content);
    m_outcome = "answered";
    co_await m_sink.endStream();
    co_return AttemptEnd::Delivered;
}

AttemptEnd RequestRun::Impl::leftMidway()
{
    m_callerGone = true;
    dropConnection();
    return AttemptEnd::Delivered;
}

} // namespace almondscale
