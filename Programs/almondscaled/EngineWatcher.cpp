#include "EngineWatcher.h"

#include "Core/BoundedQueue.h"
#include "Http/HttpClient.h"
#include "Http/Json.h"

#include <atomic>
#include <thread>

namespace almondscale {

namespace {

    constexpr int pollerCount = 4;
    constexpr std::size_t ringCapacity = 256;
    constexpr auto pumpInterval = std::chrono::milliseconds(20);
    constexpr auto pollTimeout = std::chrono::milliseconds(500);
    // Engines of other data centres are asked less often.
    constexpr int farEngineInterval = 4;
    constexpr int cacheEventInterval = 4;

    std::optional<JsonDocument> ask(const Address& engine, const std::string& path)
    {
        HttpCall call;
        call.to = engine;
        call.path = path;
        call.deadline = Deadline::after(monotonicClock()(), pollTimeout);
        const CallResult result = callOnce(call);
        if (!result.ok() || result.response->status != 200)
            return std::nullopt;
        return parseJson(result.response->body);
    }

    LoadReport readReport(const JsonValue& json, MonotonicTime now)
    {
        LoadReport report;
        report.boot = static_cast<std::uint64_t>(jsonInteger(json, "boot"));
        report.running = static_cast<int>(jsonInteger(json, "running"));
        report.queued = static_cast<int>(jsonInteger(json, "queued"));
        report.prefillTokens = TokenCount(jsonInteger(json, "prefill_tokens"));
        report.decodeTokens = TokenCount(jsonInteger(json, "decode_tokens"));
        report.freeBlocks = BlockCount(jsonInteger(json, "free_blocks"));
        report.totalBlocks = BlockCount(jsonInteger(json, "total_blocks"));
        report.sequence = static_cast<std::uint64_t>(jsonInteger(json, "sequence"));
        report.sampledAt = now - std::chrono::milliseconds(jsonInteger(json, "age_ms"));
        return report;
    }

    std::vector<CacheEvent> readCacheEvents(const JsonValue& json)
    {
        std::vector<CacheEvent> events;
        const JsonValue* list = jsonMember(json, "events");
        if (!list || !list->IsArray())
            return events;
        for (const JsonValue& item : list->GetArray()) {
            CacheEvent event;
            event.sequence = static_cast<std::uint64_t>(jsonInteger(item, "sequence"));
            event.kind
                = jsonString(item, "kind") == "evicted" ? CacheEventKind::Evicted : CacheEventKind::Stored;
            event.prefix = PrefixHash(std::strtoull(jsonString(item, "prefix").c_str(), nullptr, 16));
            events.push_back(event);
        }
        return events;
    }

} // namespace

class EngineWatcher::Impl {
public:
    Impl(EngineDirectory& directory, DataCentre own, Nanoseconds interval)
        : m_directory(directory)
        , m_own(std::move(own))
        , m_interval(interval)
        , m_due(ringCapacity)
    {
    }

    ~Impl() { stop(); }

    void start()
    {
        m_running = true;
        m_threads.emplace_back([this] { schedule(); });
        m_threads.emplace_back([this] { pump(); });
        for (int i = 0; i < pollerCount; ++i)
            m_threads.emplace_back([this] { pollDue(); });
    }

    void stop()
    {
        m_running = false;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    void schedule()
    {
        for (int round = 0; m_running; ++round) {
            for (const EngineRecord& engine : m_directory.engines()) {
                const bool near = engine.view.dataCentre == m_own;
                // A full ring means that engines answer slowly; they are asked again next round.
                if ((near || round % farEngineInterval == 0) && m_due.size() < ringCapacity)
                    m_due.push(engine.view.id);
            }
            std::this_thread::sleep_for(m_interval);
        }
    }

    void pump()
    {
        while (m_running) {
            for (const auto& pool : m_directory.pools())
                pool->pump();
            std::this_thread::sleep_for(pumpInterval);
        }
    }

    void pollDue()
    {
        constexpr int popTimeoutMs = 100;
        while (m_running) {
            if (const auto engine = m_due.pop(popTimeoutMs))
                poll(*engine);
        }
    }

    void poll(const EngineId& id)
    {
        const auto record = m_directory.engine(id);
        if (!record || !markBusy(id))
            return;
        const auto json = ask(record->view.address, "/load");
        if (!json) {
            m_directory.onPollFailed(id);
        } else {
            const auto role = parseEngineRole(jsonString(*json, "role")).value_or(record->view.role);
            m_directory.onReport(id, readReport(*json, monotonicClock()()), role);
            pollCacheEvents(*record);
        }
        const std::lock_guard lock(m_mutex);
        m_busy.erase(id);
    }

    // Two polls of one engine must not overlap, or an older answer could follow a newer one.
    bool markBusy(const EngineId& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_busy.insert(id).second;
    }

    void pollCacheEvents(const EngineRecord& record)
    {
        std::uint64_t since = 0;
        {
            const std::lock_guard lock(m_mutex);
            if (m_polls[record.view.id]++ % cacheEventInterval != 0)
                return;
            since = m_nextEvent[record.view.id];
        }
        const auto json = ask(record.view.address, "/cache-events?since=" + std::to_string(since));
        const auto pool = m_directory.pool(record.view.model);
        if (!json || !pool)
            return;
        const auto next = static_cast<std::uint64_t>(jsonInteger(*json, "next"));
        const std::uint64_t from = pool->onCacheEvents(record.view.id, readCacheEvents(*json), next);
        const std::lock_guard lock(m_mutex);
        m_nextEvent[record.view.id] = from;
    }

    EngineDirectory& m_directory;
    DataCentre m_own;
    Nanoseconds m_interval;
    BoundedQueue<EngineId> m_due;
    std::atomic<bool> m_running { false };
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::set<EngineId> m_busy;
    std::map<EngineId, std::uint64_t> m_polls;
    std::map<EngineId, std::uint64_t> m_nextEvent;
};

EngineWatcher::EngineWatcher(EngineDirectory& directory, const DataCentre& own, Nanoseconds interval)
    : m_impl(std::make_unique<Impl>(directory, own, interval))
{
}

EngineWatcher::~EngineWatcher() = default;

void EngineWatcher::start() { m_impl->start(); }

void EngineWatcher::stop() { m_impl->stop(); }

} // namespace almondscale
