#include "StandIns/EngineFace.h"

#include "Core/Address.h"
#include "Http/HttpClient.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "StandIns/EngineCore.h"
#include "StandIns/EngineJson.h"
#include "StandIns/JsonError.h"
#include "StandIns/OptionValues.h"
#include "StandIns/TokenLines.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace almondscale::standin {

namespace {

    constexpr Nanoseconds idleWait = std::chrono::milliseconds(50);
    // Streams look this often whether their caller is still there.
    constexpr Nanoseconds streamWait = std::chrono::milliseconds(200);
    constexpr Nanoseconds kvImportTimeout = std::chrono::seconds(5);

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    const std::string attemptsPrefix = "/attempts/";
    const std::string kvPrefix = "/kv/";
    const std::string stateSuffix = "/state";

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    std::int64_t parseNumber(const std::optional<std::string>& text)
    {
        return parseCount(text.value_or("0")).value_or(0);
    }

    std::optional<KvCache> fetchKv(const std::string& source)
    {
        const std::size_t at = source.find('@');
        if (at == std::string::npos)
            return std::nullopt;
        const std::optional<Address> address = parseAddress(source.substr(at + 1));
        if (!address)
            return std::nullopt;
        HttpCall call;
        call.to = *address;
        call.path = kvPrefix + source.substr(0, at);
        call.deadline = Deadline::after(monotonicClock()(), kvImportTimeout);
        const CallResult result = callOnce(call);
        if (!result.ok() || result.response->status != statusOk)
            return std::nullopt;
        return kvFromBytes(result.response->body);
    }

} // namespace

class EngineFace::Impl {
public:
    Impl(const EngineSettings& settings, Interrupt interrupt)
        : m_settings(settings)
        , m_interrupt(std::move(interrupt))
        , m_clock(monotonicClock())
        , m_core(settings, m_clock, firstBoot())
        , m_boot(m_core.state().boot)
        , m_ticker([this] { tick(); })
    {
    }

    ~Impl()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
        }
        m_work.notify_all();
        m_progress.notify_all();
        m_ticker.join();
    }

    void handle(HttpExchange&);

private:
    using Lock = std::unique_lock<std::mutex>;

    // A restarted program must not be taken for its predecessor.
    static std::uint64_t firstBoot()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    }

    void tick();
    void noticeCrash();
    void post(HttpExchange&);
    void get(HttpExchange&);
    void startAttempt(HttpExchange&);
    std::optional<KvCache> importKv(const AttemptRequest&);
    void followAttempt(HttpExchange&);
    void attemptState(HttpExchange&);
    void cancelAttempt(HttpExchange&);
    void stream(HttpExchange&, const AttemptId&, TokenCount from, std::uint64_t boot);
    bool writeProgress(HttpExchange&, const TokenLines&, const AttemptProgress&, std::int64_t& sent,
        std::int64_t cutAfter) const;
    void exportKv(HttpExchange&);
    void takeOrder(HttpExchange&);
    void setFaults(HttpExchange&);

    EngineSettings m_settings;
    Interrupt m_interrupt;
    Clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_work;
    std::condition_variable m_progress;
    EngineCore m_core;
    // The boot number at which connections were last closed.
    std::uint64_t m_boot;
    bool m_stopped = false;
    std::thread m_ticker;
};

void EngineFace::Impl::tick()
{
    Lock lock(m_mutex);
    while (!m_stopped) {
        m_core.advance();
        noticeCrash();
        m_progress.notify_all();
        const MonotonicTime latest = m_clock() + idleWait;
        m_work.wait_until(lock, std::min(m_core.nextDue().value_or(latest), latest));
    }
}

void EngineFace::Impl::noticeCrash()
{
    const std::uint64_t boot = m_core.state().boot;
    if (boot == m_boot)
        return;
    m_boot = boot;
    m_progress.notify_all();
    m_interrupt(m_settings.downAfterCrash);
}

void EngineFace::Impl::handle(HttpExchange& exchange)
{
    {
        const Lock lock(m_mutex);
        if (m_core.down()) {
            exchange.drop();
            return;
        }
    }
    if (exchange.method() == "POST")
        post(exchange);
    else if (exchange.method() == "DELETE" && startsWith(exchange.path(), attemptsPrefix))
        cancelAttempt(exchange);
    else
        get(exchange);
}

void EngineFace::Impl::post(HttpExchange& exchange)
{
    if (exchange.path() == "/attempts")
        startAttempt(exchange);
    else if (exchange.path() == "/orders")
        takeOrder(exchange);
    else if (exchange.path() == "/faults")
        setFaults(exchange);
    else
        exchange.reply(statusNotFound, jsonError("unknown_path"));
}

void EngineFace::Impl::get(HttpExchange& exchange)
{
    const std::string& path = exchange.path();
    if (startsWith(path, attemptsPrefix)) {
        followAttempt(exchange);
        return;
    }
    if (startsWith(path, kvPrefix)) {
        exportKv(exchange);
        return;
    }
    const Lock lock(m_mutex);
    m_core.advance();
    noticeCrash();
    if (path == "/load")
        exchange.reply(statusOk, loadJson(m_core.loadReport(), m_clock()));
    else if (path == "/state")
        exchange.reply(statusOk, stateJson(m_core.state()));
    else if (path == "/stats")
        exchange.reply(statusOk, statsJson(m_core.stats()));
    else if (path == "/cache-events") {
        const auto since = static_cast<std::uint64_t>(parseNumber(exchange.queryValue("since")));
        exchange.reply(statusOk, cacheEventsJson(m_core.cacheEvents(since), since));
    } else
        exchange.reply(statusNotFound, jsonError("unknown_path"));
}

std::optional<KvCache> EngineFace::Impl::importKv(const AttemptRequest& request)
{
    std::optional<KvCache> cache = fetchKv(request.kv);
    if (!cache || cache->promptHash != hashForKv(request.prompt))
        return std::nullopt;
    return cache;
}

void EngineFace::Impl::startAttempt(HttpExchange& exchange)
{
    const std::optional<AttemptRequest> request = attemptFromJson(exchange.body());
    if (!request) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    std::optional<KvCache> imported;
    if (request->phase == AttemptPhase::Decode) {
        imported = importKv(*request);
        if (!imported) {
            exchange.reply(statusUnavailable, jsonError("kv_missing"));
            return;
        }
    }
    Lock lock(m_mutex);
    const SubmitOutcome outcome = m_core.submit(*request, imported);
    noticeCrash();
    const std::uint64_t boot = m_boot;
    lock.unlock();
    m_work.notify_one();
    if (outcome == SubmitOutcome::Down)
        exchange.drop();
    else if (outcome == SubmitOutcome::Full)
        exchange.reply(statusUnavailable, jsonError(submitOutcomeWord(outcome)));
    else if (outcome != SubmitOutcome::Accepted)
        exchange.reply(statusConflict, jsonError(submitOutcomeWord(outcome)));
    else
        stream(exchange, request->attempt, request->offset, boot);
}

void EngineFace::Impl::followAttempt(HttpExchange& exchange)
{
    const std::string& path = exchange.path();
    if (path.size() > stateSuffix.size()
        && path.compare(path.size() - stateSuffix.size(), stateSuffix.size(), stateSuffix) == 0) {
        attemptState(exchange);
        return;
    }
    const AttemptId id(path.substr(attemptsPrefix.size()));
    const TokenCount from(parseNumber(exchange.queryValue("offset")));
    Lock lock(m_mutex);
    const std::uint64_t boot = m_boot;
    if (!m_core.progress(id, from)) {
        exchange.reply(statusNotFound, jsonError("unknown_attempt"));
        return;
    }
    lock.unlock();
    stream(exchange, id, from, boot);
}

void EngineFace::Impl::attemptState(HttpExchange& exchange)
{
    const std::string& path = exchange.path();
    const std::size_t idLength = path.size() - attemptsPrefix.size() - stateSuffix.size();
    const std::string id = path.substr(attemptsPrefix.size(), idLength);
    const Lock lock(m_mutex);
    const auto progress = m_core.progress(AttemptId(id), TokenCount(0));
    if (!progress) {
        exchange.reply(statusNotFound, jsonError("unknown_attempt"));
        return;
    }
    JsonBuilder json;
    json.text("attempt", id);
    json.text("state", attemptStateWord(progress->state));
    json.integer("tokens", progress->made.count());
    exchange.reply(statusOk, json.finish());
}

void EngineFace::Impl::cancelAttempt(HttpExchange& exchange)
{
    const AttemptId id(exchange.path().substr(attemptsPrefix.size()));
    const Lock lock(m_mutex);
    const bool known = m_core.cancel(id);
    m_progress.notify_all();
    exchange.reply(known ? statusOk : statusNotFound, known ? "{}" : jsonError("unknown_attempt"));
}

void EngineFace::Impl::stream(
    HttpExchange& exchange, const AttemptId& attempt, TokenCount from, std::uint64_t boot)
{
    if (!exchange.startStream("application/x-ndjson"))
        return;
    const TokenLines writer(attempt);
    std::int64_t sent = 0;
    for (;;) {
        Lock lock(m_mutex);
        const TokenCount next(from.count() + sent);
        const auto moved = [&] { return m_stopped || m_boot != boot || m_core.hasProgress(attempt, next); };
        m_progress.wait_for(lock, streamWait, moved);
        const std::optional<AttemptProgress> progress
            = m_boot == boot ? m_core.progress(attempt, next) : std::nullopt;
        const std::int64_t cutAfter = m_core.faults().cutAfterTokens;
        if (m_stopped || !progress)
            return;
        lock.unlock();
        if (exchange.callerGone() || !writeProgress(exchange, writer, *progress, sent, cutAfter))
            return;
        if (progress->state == AttemptState::Done || progress->state == AttemptState::Cancelled) {
            exchange.endStream();
            return;
        }
    }
}

// Returns false if the stream has ended early.
bool EngineFace::Impl::writeProgress(HttpExchange& exchange, const TokenLines& writer,
    const AttemptProgress& progress, std::int64_t& sent, std::int64_t cutAfter) const
{
    std::string lines;
    std::int64_t index = progress.firstIndex;
    for (const std::string& token : progress.tokens) {
        if (cutAfter > 0 && sent >= cutAfter) {
            exchange.write(lines);
            return false;
        }
        lines += writer.token(index++, token);
        ++sent;
    }
    if (progress.state == AttemptState::Done)
        lines += writer.done(progress);
    return lines.empty() || exchange.write(lines);
}

void EngineFace::Impl::exportKv(HttpExchange& exchange)
{
    std::optional<KvCache> cache;
    {
        const Lock lock(m_mutex);
        cache = m_core.exportKv(exchange.path().substr(kvPrefix.size()));
    }
    if (cache)
        exchange.reply(statusOk, kvBytes(*cache), "application/octet-stream");
    else
        exchange.reply(statusNotFound, jsonError("unknown_kv"));
}

void EngineFace::Impl::takeOrder(HttpExchange& exchange)
{
    // The bound counts from the request's header, so that a slow drip of bytes
    // cannot stretch it.
    if (m_clock() - exchange.headerReadAt() > m_settings.requestReadTimeout) {
        exchange.drop();
        return;
    }
    const std::optional<EngineOrder> order = orderFromJson(exchange.body());
    if (!order) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    Lock lock(m_mutex);
    const OrderOutcome outcome = m_core.order(*order);
    noticeCrash();
    const std::uint64_t boot = m_boot;
    m_work.notify_one();
    if (outcome == OrderOutcome::Down) {
        exchange.drop();
        return;
    }
    if (outcome != OrderOutcome::Accepted) {
        const int status = outcome == OrderOutcome::Invalid ? statusBadRequest : statusConflict;
        exchange.reply(status, jsonError(orderOutcomeWord(outcome)));
        return;
    }
    m_progress.wait(lock, [&] { return m_stopped || m_boot != boot || !m_core.state().closing; });
    if (m_stopped || m_boot != boot)
        exchange.drop();
    else
        exchange.reply(statusOk, stateJson(m_core.state()));
}

void EngineFace::Impl::setFaults(HttpExchange& exchange)
{
    const std::optional<JsonDocument> json = parseJson(exchange.body());
    if (!json) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    const bool crash = jsonFlag(*json, "crash");
    const bool silent = jsonFlag(*json, "silent");
    {
        const Lock lock(m_mutex);
        EngineFaults& faults = m_core.faults();
        if (jsonMember(*json, "crash_on") != nullptr)
            faults.crashOn = jsonString(*json, "crash_on");
        faults.dropEvents = jsonInteger(*json, "drop_events", faults.dropEvents);
        faults.cutAfterTokens = jsonInteger(*json, "cut_after_tokens", faults.cutAfterTokens);
        if (jsonMember(*json, "step_ms") != nullptr)
            faults.step = std::chrono::milliseconds(jsonInteger(*json, "step_ms"));
        if (crash) {
            m_core.crash();
            noticeCrash();
        }
    }
    if (silent)
        exchange.silenceOthers();
    exchange.reply(statusOk, "{}");
}

EngineFace::EngineFace(const EngineSettings& settings, Interrupt interrupt)
    : m_impl(std::make_unique<Impl>(settings, std::move(interrupt)))
{
}

EngineFace::~EngineFace() = default;

void EngineFace::handle(HttpExchange& exchange) { m_impl->handle(exchange); }

} // namespace almondscale::standin
