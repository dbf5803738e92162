#include "StandIns/PlatformFace.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "StandIns/HostList.h"
#include "StandIns/JsonError.h"
#include "StandIns/PlatformFaults.h"
#include "StandIns/RateLimit.h"
#include "StandIns/TableStore.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace almondscale::standin {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;

    const std::string tablePrefix = "/table/";
    const std::string objectsPrefix = "/objects/";
    const std::string hostsPrefix = "/hosts/";
    const std::string backendsPrefix = "/backends/";

    // The rest of the path after a prefix, if it has that prefix.
    std::optional<std::string> after(const std::string& path, const std::string& prefix)
    {
        if (path.size() <= prefix.size() || path.compare(0, prefix.size(), prefix) != 0)
            return std::nullopt;
        return path.substr(prefix.size());
    }

    std::string rowJson(const std::optional<TableRow>& row)
    {
        if (!row)
            return "{}";
        JsonBuilder json;
        json.text("key", row->key);
        json.text("value", row->value);
        json.integer("version", static_cast<std::int64_t>(row->version.count()));
        json.text("writer", row->writer.text());
        return json.finish();
    }

    std::string entriesJson(const std::map<std::string, std::string>& entries)
    {
        std::string text;
        for (const auto& [id, entry] : entries)
            text += (text.empty() ? "" : ",") + entry;
        return "[" + text + "]";
    }

    // The entry as it is listed: the members that were set, with the id.
    std::optional<std::string> listEntry(const std::string& id, const std::string& body)
    {
        const std::optional<JsonDocument> given = parseJson(body);
        if (!given || jsonMember(*given, "state") == nullptr)
            return std::nullopt;
        JsonBuilder entry;
        entry.text("id", id);
        for (const auto& member : given->GetObject()) {
            if (member.name != "id" && member.value.IsString())
                entry.text(member.name.GetString(), member.value.GetString());
        }
        return entry.finish();
    }

} // namespace

class PlatformFace::Impl {
public:
    explicit Impl(const PlatformSettings& settings)
        : m_clock(monotonicClock())
        , m_reads(settings.readsPerSecond)
        , m_writes(settings.writesPerSecond)
        , m_hosts(settings.hostLag)
        , m_backends(settings.hostLag)
    {
    }

    void handle(HttpExchange&);

private:
    bool control(HttpExchange&);
    void setFaults(HttpExchange&);
    void read(HttpExchange&);
    void write(HttpExchange&);
    void writeRow(HttpExchange&, const std::string& key);
    void writeList(HttpExchange&, HostList&, const std::string& id);

    Clock m_clock;
    std::mutex m_mutex;
    PlatformFaults m_faults;
    RateLimit m_reads;
    RateLimit m_writes;
    TableStore m_table;
    std::map<std::string, std::string> m_objects;
    HostList m_hosts;
    HostList m_backends;
    std::int64_t m_readCount = 0;
    std::int64_t m_writeCount = 0;
};

void PlatformFace::Impl::handle(HttpExchange& exchange)
{
    if (control(exchange))
        return;
    Nanoseconds delay {};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        delay = m_faults.slow;
    }
    std::this_thread::sleep_for(delay);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool reading = exchange.method() == "GET";
    RateLimit& limit = reading ? m_reads : m_writes;
    if (m_faults.down || !limit.allow(m_clock())) {
        exchange.reply(statusUnavailable, jsonError(m_faults.down ? "down" : "rate_limited"));
        return;
    }
    if (reading)
        read(exchange);
    else
        write(exchange);
}

// Calls that the faults do not touch.
bool PlatformFace::Impl::control(HttpExchange& exchange)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (exchange.path() == "/faults") {
        setFaults(exchange);
        return true;
    }
    if (exchange.path() != "/stats")
        return false;
    JsonBuilder json;
    json.integer("reads", m_readCount);
    json.integer("writes", m_writeCount);
    exchange.reply(statusOk, json.finish());
    return true;
}

void PlatformFace::Impl::setFaults(HttpExchange& exchange)
{
    const std::optional<JsonDocument> json = parseJson(exchange.body());
    if (!json) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    if (jsonMember(*json, "down") != nullptr)
        m_faults.down = jsonFlag(*json, "down");
    if (jsonMember(*json, "slow_ms") != nullptr)
        m_faults.slow = std::chrono::milliseconds(jsonInteger(*json, "slow_ms"));
    m_faults.loseAnswers = jsonInteger(*json, "lose_answers", m_faults.loseAnswers);
    if (jsonFlag(*json, "silent"))
        exchange.silenceOthers();
    exchange.reply(statusOk, "{}");
}

void PlatformFace::Impl::read(HttpExchange& exchange)
{
    ++m_readCount;
    const std::string& path = exchange.path();
    if (const auto key = after(path, tablePrefix)) {
        const std::optional<TableRow> row = m_table.read(*key);
        exchange.reply(row ? statusOk : statusNotFound, rowJson(row));
    } else if (path == "/table") {
        JsonBuilder json;
        json.beginArray("rows");
        for (const TableRow& row : m_table.list(exchange.queryValue("prefix").value_or("")))
            json.rawElement(rowJson(row));
        json.endArray();
        exchange.reply(statusOk, json.finish());
    } else if (const auto object = after(path, objectsPrefix)) {
        const auto found = m_objects.find(*object);
        if (found == m_objects.end())
            exchange.reply(statusNotFound, jsonError("not_found"));
        else
            exchange.reply(statusOk, found->second, "application/octet-stream");
    } else if (path == "/hosts") {
        const MonotonicTime now = m_clock();
        exchange.reply(statusOk,
            "{\"hosts\":" + entriesJson(m_hosts.read(now))
                + ",\"backends\":" + entriesJson(m_backends.read(now)) + "}");
    } else
        exchange.reply(statusNotFound, jsonError("unknown_path"));
}

void PlatformFace::Impl::write(HttpExchange& exchange)
{
    ++m_writeCount;
    const std::string& path = exchange.path();
    if (const auto key = after(path, tablePrefix))
        writeRow(exchange, *key);
    else if (const auto object = after(path, objectsPrefix)) {
        m_objects[*object] = exchange.body();
        exchange.reply(statusOk, "{}");
    } else if (const auto host = after(path, hostsPrefix))
        writeList(exchange, m_hosts, *host);
    else if (const auto backend = after(path, backendsPrefix))
        writeList(exchange, m_backends, *backend);
    else
        exchange.reply(statusNotFound, jsonError("unknown_path"));
    if (m_faults.loseAnswers <= 0)
        return;
    --m_faults.loseAnswers;
    exchange.drop();
}

void PlatformFace::Impl::writeRow(HttpExchange& exchange, const std::string& key)
{
    const std::optional<JsonDocument> json = parseJson(exchange.body());
    const std::int64_t expected = json ? jsonInteger(*json, "expected", -1) : -1;
    if (exchange.method() != "PUT" || expected < 0 || jsonMember(*json, "value") == nullptr) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    const WriteResult result = m_table.compareAndSet(key, jsonString(*json, "value"),
        RowVersion(static_cast<std::uint64_t>(expected)), WriterId(jsonString(*json, "writer")));
    if (result.outcome != WriteOutcome::Applied) {
        exchange.reply(statusConflict, rowJson(result.current));
        return;
    }
    JsonBuilder answer;
    answer.integer("version", static_cast<std::int64_t>(result.version.count()));
    exchange.reply(statusOk, answer.finish());
}

void PlatformFace::Impl::writeList(HttpExchange& exchange, HostList& list, const std::string& id)
{
    if (exchange.method() == "DELETE") {
        list.remove(id, m_clock());
        exchange.reply(statusOk, "{}");
        return;
    }
    const std::optional<std::string> entry = listEntry(id, exchange.body());
    if (!entry) {
        exchange.reply(statusBadRequest, jsonError("bad_request"));
        return;
    }
    list.set(id, *entry, m_clock());
    exchange.reply(statusOk, "{}");
}

PlatformFace::PlatformFace(const PlatformSettings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

PlatformFace::~PlatformFace() = default;

void PlatformFace::handle(HttpExchange& exchange) { m_impl->handle(exchange); }

} // namespace almondscale::standin
