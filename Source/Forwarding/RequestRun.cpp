#include "Forwarding/RequestRun.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/HttpCaller.h"
#include "Forwarding/Spawn.h"
#include "Serving/EventCutter.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // The largest whole answer that is held for a caller.
    constexpr std::size_t mostAnswerBytes = 8 << 20;
    // Backend servers are in the same region; a connection that is not made by then is lost.
    constexpr Nanoseconds connectTime = milliseconds(400);
    // A call for a prefill is taken as lost after three times what it should take and this.
    constexpr Nanoseconds prefillSlack = milliseconds(700);
    // From the end of a prefill to the first event of the answer.
    constexpr Nanoseconds decodeTime = milliseconds(150);
    // A decode engine that is silent for this long, where the request may go elsewhere.
    constexpr Nanoseconds streamSilence = milliseconds(1000);
    // Time for freeing a KV cache, which expires by itself.
    constexpr Nanoseconds freeTime = milliseconds(500);
    // What a caller waits before it comes back, when a server is expected to have room again.
    constexpr Nanoseconds retryAfterFull = milliseconds(300);
    constexpr Nanoseconds retryAfterNone = milliseconds(800);

    Nanoseconds fromMs(double ms) { return Nanoseconds(static_cast<std::int64_t>(ms * 1e6)); }

    std::uint64_t drawOf(const CallerRequestId& id) { return std::hash<std::string>()(id.text()); }

} // namespace

// How one attempt at a backend server ended.
enum class AttemptEnd {
    // The caller has its final answer, or its stream was broken off.
    Delivered,
    // The server did not run the request and will not.
    NotRun,
    // The server may have run the request.
    MayHaveRun,
    // The server answered that it failed; the answer is kept.
    Failed,
};

class RequestRun::Impl : public std::enable_shared_from_this<RequestRun::Impl> {
public:
    Impl(ServingContext& context, CallerRequest request, std::shared_ptr<const Route> route, AnswerSink sink)
        : m_context(context)
        , m_request(std::move(request))
        , m_route(std::move(route))
        , m_sink(std::move(sink))
        , m_service(drawService(*m_route, drawOf(m_request.id)))
        , m_arrivedAt(bootTime())
        , m_deadline(Deadline::after(
              m_arrivedAt, std::min(m_request.patience.value_or(m_route->timeout), m_route->timeout)))
        , m_lastEvent(m_request.lastEvent)
    {
        ++m_context.openRequests;
    }
    ~Impl() { --m_context.openRequests; }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    awaitable<void> run()
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
            m_context.demand.onRequest(m_service, *m_request.prompt, m_arrivedAt);
            co_await runAttempts([this] { return attemptStream(); });
        } else {
            co_await runAttempts([this] { return attemptPlain(); });
        }
        timer.cancel();
        logEnd();
    }

    void abandon() { stop(m_callerGone); }

private:
    using Attempt = std::function<awaitable<AttemptEnd>()>;

    bool stopped() const { return m_callerGone || m_timeUp; }

    void stop(bool& reason)
    {
        reason = true;
        if (m_connection)
            m_connection->close();
    }

    awaitable<void> runAttempts(Attempt attempt)
    {
        for (;;) {
            const auto end = co_await attempt();
            if (end == AttemptEnd::Delivered || m_callerGone)
                co_return;
            if (end == AttemptEnd::MayHaveRun || end == AttemptEnd::Failed)
                m_mayHaveRun = true;
            if (m_timeUp || m_outOfServers || !mayTryAgain())
                break;
        }
        co_await giveUp();
    }

    // Whether the request may be sent to another server; counts the further attempt if so.
    bool mayTryAgain()
    {
        if (m_mayHaveRun && !m_route->repeatable())
            return false;
        if (m_runs >= m_route->maxAttempts || ++m_cycles > m_route->maxAttempts)
            return false;
        // Another prefill counts like another run, unless none was accepted so far.
        const int sends = (m_arrivals > 0 ? 1 : 0) + (m_prefilled || m_prefillFailed ? 1 : 0);
        if (sends > 0 && !m_context.retries.tryRetry(m_service, bootTime(), sends)) {
            m_error = ErrorKind::RetryBudgetSpent;
            return false;
        }
        return true;
    }

    awaitable<void> giveUp()
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

    awaitable<void> refuse(ErrorKind kind)
    {
        m_outcome = errorWord(kind);
        const auto& row = errorAnswer(kind);
        std::optional<Nanoseconds> retryAfter;
        if (row.run == RunKnowledge::NotRun && row.retryable)
            retryAfter = kind == ErrorKind::NoEngine ? retryAfterNone : retryAfterFull;
        auto answer = m_context.wire.encodeError(kind, retryAfter);
        co_await m_sink.sendWhole(std::move(answer.head), std::move(answer.body));
    }

    // A connection to the server, or null if none could be made; nothing was sent then.
    awaitable<bool> openConnection(BackendId id, Address address, Deadline deadline)
    {
        m_connection = m_context.pool.take(address);
        if (m_connection)
            co_return true;
        m_connection = m_context.pool.make(address);
        const auto error
            = co_await m_connection->connect(std::min(deadline, Deadline::after(bootTime(), connectTime)));
        if (!error && !stopped())
            co_return true;
        m_connection.reset();
        if (!stopped()) {
            m_context.backends.noteOutcome(id, BackendOutcome::Broken, bootTime());
            LogEvent("connect_failed", LogLevel::Warning)
                .with("request", m_request.id)
                .with("backend", id)
                .with("address", address.text())
                .with("error", error.message());
        }
        co_return false;
    }

    // Sends the request and reads the head of the answer to it.
    awaitable<Result<BackendReply>> exchange(const BackendCall& call, Deadline deadline)
    {
        const auto head = m_context.wire.encodeCall(m_request, call);
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
            if (reply.requestId == m_request.id.text() || (reply.requestId.empty() && !reply.proven))
                co_return reply;
            if (strays == mostStrays)
                co_return std::make_error_code(std::errc::bad_message);
            auto skipped = co_await m_connection->readWholeBody(mostAnswerBytes, deadline);
            if (!skipped)
                co_return skipped.error();
        }
    }

    BackendCall callTo(const BackendId& id) const
    {
        BackendCall call;
        call.backend = id;
        call.remaining = m_deadline.remaining(bootTime());
        call.lastEvent = m_lastEvent;
        if (m_request.prompt)
            call.priority = m_route->priority;
        return call;
    }

    void dropConnection()
    {
        if (m_connection)
            m_connection->close();
        m_connection.reset();
    }

    void note(const BackendId& id, BackendOutcome outcome)
    {
        m_context.backends.noteOutcome(id,
            stopped() && outcome == BackendOutcome::Broken ? BackendOutcome::Abandoned : outcome, bootTime());
    }

    // What a refusal or a failure before any byte of the answer means for the request.
    AttemptEnd endOfError(const BackendId& id, const std::error_code& error)
    {
        note(id, BackendOutcome::Broken);
        if (!stopped()) {
            LogEvent("attempt_lost", LogLevel::Warning)
                .with("request", m_request.id)
                .with("backend", id)
                .with("error", error.message());
        }
        dropConnection();
        ++m_runs;
        return AttemptEnd::MayHaveRun;
    }

    // Takes over an answer that says the request did not run.
    awaitable<AttemptEnd> endOfRefusal(const BackendId& id, const BackendReply& reply, Deadline deadline)
    {
        note(id, reply.wrongBackend ? BackendOutcome::Broken : BackendOutcome::Refused);
        const auto body = co_await m_connection->readWholeBody(mostAnswerBytes, deadline);
        if (body)
            m_context.pool.giveBack(std::move(m_connection));
        dropConnection();
        m_error = ErrorKind::QueueFull;
        co_return AttemptEnd::NotRun;
    }

    // Delivers a whole answer, or keeps it if it is a failure after which another server may be tried.
    awaitable<AttemptEnd> takeWhole(const BackendId& id, BackendReply reply, Deadline deadline)
    {
        auto body = co_await m_connection->readWholeBody(mostAnswerBytes, deadline);
        if (!body)
            co_return endOfError(id, body.error());
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
        m_outcome = "answered";
        co_await m_sink.sendWhole(std::move(head), std::move(body.value()));
        co_return AttemptEnd::Delivered;
    }

    awaitable<AttemptEnd> attemptPlain()
    {
        const auto choice = m_context.placement.choosePlain(m_service, m_excluded, bootTime());
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

    AttemptEnd noServer()
    {
        m_outOfServers = true;
        if (m_arrivals == 0)
            m_error = ErrorKind::NoEngine;
        return AttemptEnd::NotRun;
    }

    awaitable<AttemptEnd> attemptStream()
    {
        const auto& prompt = *m_request.prompt;
        const auto prefill = m_context.placement.choosePrefill(m_service, prompt, m_prefillExcluded,
            Deadline(m_arrivedAt + m_route->target - decodeTime), bootTime());
        std::optional<KvSource> source;
        DataCentre prefilledIn;
        if (prefill) {
            if (fromMs(prefill->expectedMs) > m_deadline.remaining(bootTime())) {
                m_outOfServers = true;
                m_error = ErrorKind::DeadlineUnreachable;
                co_return AttemptEnd::NotRun;
            }
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

    awaitable<std::optional<std::string>> prefillAt(PlacementChoice choice, Address address)
    {
        const auto id = choice.backend;
        m_prefill = choice;
        m_prefillExcluded.insert(id);
        m_backend = id;
        const OpenWork work(m_context.backends, id, BackendLoad { choice.workMs, 0, 0 });
        m_context.backends.notePart(id, m_request.prompt->sharedKey, bootTime());
        const auto sentAt = bootTime();
        const auto deadline
            = std::min(m_deadline, Deadline::after(sentAt, 3 * fromMs(choice.expectedMs) + prefillSlack));
        const bool connected = co_await openConnection(id, address, deadline);
        if (!connected)
            co_return std::nullopt;
        auto call = callTo(id);
        call.prefillOnly = true;
        call.lastEvent.clear();
        auto reply = co_await exchange(call, deadline);
        if (!reply) {
            m_prefillFailed = true;
            note(id, BackendOutcome::Broken);
            dropConnection();
            co_return std::nullopt;
        }
        if (!reply.value().success()) {
            m_prefillFailed = true;
            co_await endOfRefusal(id, reply.value(), deadline);
            co_return std::nullopt;
        }
        auto body = co_await m_connection->readWholeBody(mostAnswerBytes, deadline);
        if (!body) {
            m_prefillFailed = true;
            note(id, BackendOutcome::Broken);
            dropConnection();
            co_return std::nullopt;
        }
        m_context.pool.giveBack(std::move(m_connection));
        dropConnection();
        note(id, BackendOutcome::Answered);
        m_prefilled = true;
        m_context.backends.noteSpeed(id, bootTime() - sentAt, fromMs(choice.ordinaryMs));
        m_prefilledAt = bootTime();
        co_return m_context.wire.decodeKvHandle(body.value());
    }

    static awaitable<void> freeAt(ServingContext& context, KvSource source)
    {
        const auto freed
            = co_await callHttp(context.pool, source.engine, context.wire.encodeFreeHandle(source.handle),
                std::string(), Deadline::after(bootTime(), freeTime));
        if (!freed)
            LogEvent("kv_not_freed")
                .with("engine", source.engine.text())
                .with("error", freed.error().message());
    }

    void freeHandle(const KvSource& source) { spawn(m_context.executor, freeAt(m_context, source)); }

    awaitable<AttemptEnd> decode(std::optional<KvSource> source, DataCentre prefilledIn)
    {
        const auto& prompt = *m_request.prompt;
        const auto choice = m_context.placement.chooseDecode(
            m_service, *m_engine, prompt, prefilledIn, m_excluded, bootTime());
        if (!choice)
            co_return noServer();
        const auto id = choice->backend;
        m_excluded.insert(id);
        m_backend = id;
        const OpenWork work(
            m_context.backends, id, BackendLoad { 0, 1, static_cast<double>(prompt.prompt.count()) });
        const bool connected
            = co_await openConnection(id, m_context.backends.find(id)->record.address, m_deadline);
        if (!connected)
            co_return AttemptEnd::NotRun;
        ++m_arrivals;
        auto call = callTo(id);
        call.source = std::move(source);
        const auto deadline = silenceDeadline();
        auto reply = co_await exchange(call, deadline);
        if (!reply)
            co_return endOfError(id, reply.error());
        if (reply.value().notRun || reply.value().wrongBackend)
            co_return co_await endOfRefusal(id, reply.value(), deadline);
        if (!reply.value().success()) {
            if (!m_headSent)
                co_return co_await takeWhole(id, std::move(reply.value()), deadline);
            co_return endOfError(id, std::make_error_code(std::errc::bad_message));
        }
        co_return co_await forwardStream(id, std::move(reply.value()));
    }

    // Until when the next part of a stream is waited for.
    Deadline silenceDeadline() const
    {
        if (!m_route->repeatable() || m_runs + 1 >= m_route->maxAttempts)
            return m_deadline;
        return std::min(m_deadline, Deadline::after(bootTime(), streamSilence));
    }

    awaitable<AttemptEnd> forwardStream(BackendId id, BackendReply reply)
    {
        m_cutter.dropUnfinished();
        for (;;) {
            auto piece = co_await m_connection->readBody(silenceDeadline());
            if (!piece)
                co_return endOfError(id, piece.error());
            const bool last = piece.value().last;
            auto events = m_cutter.take(piece.value().bytes);
            if (!m_cutter.lastId().empty())
                m_lastEvent = m_cutter.lastId();
            // The head waits for the first event, so that the request can go elsewhere until then.
            if (!m_headSent && (!events.empty() || last)) {
                m_headSent = true;
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
        if (m_cutter.unfinished())
            co_return endOfError(id, std::make_error_code(std::errc::message_size));
        m_context.pool.giveBack(std::move(m_connection));
        dropConnection();
        note(id, BackendOutcome::Answered);
        m_outcome = "answered";
        co_await m_sink.endStream();
        co_return AttemptEnd::Delivered;
    }

    AttemptEnd leftMidway()
    {
        m_callerGone = true;
        dropConnection();
        return AttemptEnd::Delivered;
    }

    void logEnd() const
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
            .with("shared", m_request.prompt ? m_request.prompt->shared.count() : 0)
            .with("prompt", m_request.prompt ? m_request.prompt->prompt.count() : 0)
            .with("prefill_ms", m_prefilledAt == MonotonicTime() ? -1 : msSince(m_prefilledAt))
            .with("ms", msSince(bootTime()));
    }

    std::int64_t msSince(MonotonicTime at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_arrivedAt).count();
    }

    // Counts work as open at a server while it exists.
    class OpenWork {
    public:
        OpenWork(BackendTable& backends, BackendId id, BackendLoad load)
            : m_backends(backends)
            , m_id(std::move(id))
            , m_load(load)
        {
            m_backends.open(m_id, m_load);
        }
        ~OpenWork() { m_backends.close(m_id, m_load); }
        OpenWork(const OpenWork&) = delete;
        OpenWork& operator=(const OpenWork&) = delete;

    private:
        BackendTable& m_backends;
        BackendId m_id;
        BackendLoad m_load;
    };

    ServingContext& m_context;
    CallerRequest m_request;
    std::shared_ptr<const Route> m_route;
    AnswerSink m_sink;
    ServiceName m_service;
    std::optional<EngineSpec> m_engine;
    MonotonicTime m_arrivedAt;
    Deadline m_deadline;
    // The last choice of an engine for the prefill, and when it was done.
    std::optional<PlacementChoice> m_prefill;
    MonotonicTime m_prefilledAt {};

    Placement::Excluded m_excluded;
    Placement::Excluded m_prefillExcluded;
    std::unique_ptr<BackendConnection> m_connection;
    BackendId m_backend;
    EventCutter m_cutter;
    // The event after which a further attempt goes on.
    std::string m_lastEvent;
    // The answer of a server that failed, for want of a better one.
    std::optional<OwnAnswer> m_failure;
    ErrorKind m_error = ErrorKind::NoEngine;
    const char* m_outcome = "";
    // Sends that count as attempts, and servers that may have run the request.
    int m_arrivals = 0;
    // Attempts after the first, those that did not run included.
    int m_cycles = 0;
    // An engine accepted a prefill, or did not.
    bool m_prefilled = false;
    bool m_prefillFailed = false;
    int m_runs = 0;
    bool m_headSent = false;
    bool m_mayHaveRun = false;
    bool m_outOfServers = false;
    bool m_callerGone = false;
    bool m_timeUp = false;
};

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
