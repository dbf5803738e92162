#include "CrashGuard.h"

#include "Core/LogEvent.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    std::string itemKey(Fingerprint fingerprint)
    {
        return CrashGuard::itemPrefix + std::to_string(fingerprint.count());
    }

    void addRuns(JsonBuilder& json, const char* member, const std::set<EngineInstance>& runs)
    {
        json.beginArray(member);
        for (const EngineInstance& run : runs)
            json.element(run.engine.text() + " " + std::to_string(run.boot));
        json.endArray();
    }

    std::set<EngineInstance> readRuns(const JsonValue& json, const char* member)
    {
        std::set<EngineInstance> runs;
        const JsonValue* list = jsonMember(json, member);
        if (!list || !list->IsArray())
            return runs;
        for (const JsonValue& item : list->GetArray()) {
            const std::string text = item.IsString() ? item.GetString() : "";
            const auto blank = text.rfind(' ');
            if (blank != std::string::npos)
                runs.insert(
                    { EngineId(text.substr(0, blank)), std::strtoull(text.c_str() + blank, nullptr, 10) });
        }
        return runs;
    }

    bool isCleared(const StrikeRecord& record) { return record.cleared == record.crashes; }

} // namespace

CrashGuard::CrashGuard(CrashGuardHooks hooks)
    : m_hooks(std::move(hooks))
{
}

StrikeVerdict CrashGuard::verdict(Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    return m_strikes.verdict(fingerprint, m_hooks.clock());
}

bool CrashGuard::anySuspect() const
{
    const std::lock_guard lock(m_mutex);
    return m_strikes.anySuspect(m_hooks.clock());
}

bool CrashGuard::runs(const EngineId& engine) const
{
    const std::lock_guard lock(m_mutex);
    const auto first = m_running.lower_bound({ engine, 0 });
    return first != m_running.end() && first->first.engine == engine;
}

void CrashGuard::started(const EngineInstance& run, Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_running[run].insert(fingerprint);
}

void CrashGuard::ended(const EngineInstance& run, Fingerprint fingerprint)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_running.find(run);
    if (found == m_running.end())
        return;
    const auto one = found->second.find(fingerprint);
    if (one != found->second.end())
        found->second.erase(one);
    if (found->second.empty())
        m_running.erase(found);
}

void CrashGuard::crashed(const EngineInstance& run, Fingerprint fingerprint, bool alone)
{
    std::vector<StrikeRecord> changes;
    const MonotonicTime now = m_hooks.clock();
    {
        const std::lock_guard lock(m_mutex);
        std::set<Fingerprint> together { fingerprint };
        const auto running = m_running.find(run);
        if (running != m_running.end())
            together.insert(running->second.begin(), running->second.end());
        if (alone)
            m_strikes.onCrashAlone(run, fingerprint, now);
        else
            m_strikes.onCrash(run, { together.begin(), together.end() }, now);
        changes = m_strikes.takeChanges();
    }
    LogEvent("engine_crashed", LogLevel::Warning)
        .with("engine", run.engine)
        .with("boot", run.boot)
        .with("fingerprint", fingerprint)
        .with("alone", alone);
    shareChanges(changes, now);
}

void CrashGuard::completedAlone(Fingerprint fingerprint)
{
    std::vector<StrikeRecord> changes;
    const MonotonicTime now = m_hooks.clock();
    {
        const std::lock_guard lock(m_mutex);
        m_strikes.onCompletedAlone(fingerprint, now);
        changes = m_strikes.takeChanges();
    }
    shareChanges(changes, now);
}

void CrashGuard::merge(const std::string& value)
{
    const MonotonicTime now = m_hooks.clock();
    const auto record = decodeStrike(value, now);
    if (!record)
        return;
    const std::lock_guard lock(m_mutex);
    m_strikes.merge(*record, now);
}

void CrashGuard::shareChanges(const std::vector<StrikeRecord>& changes, MonotonicTime now)
{
    std::vector<PushedItem> pushed;
    pushed.reserve(changes.size());
    for (const StrikeRecord& record : changes) {
        const PushedItem item { itemKey(record.fingerprint), encodeStrike(record, now) };
        pushed.push_back(item);
        // The room for shared records is small, so those of requests that are cleared make way.
        if (isCleared(record))
            m_hooks.retract(item.key);
        else
            m_hooks.publish(item.key, item.value);
    }
    m_hooks.push(pushed);
}

std::string encodeStrike(const StrikeRecord& record, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(record.expiresAt - now);
    JsonBuilder json;
    json.text("fingerprint", std::to_string(record.fingerprint.count())).integer("expires_ms", left.count());
    addRuns(json, "crashes", record.crashes);
    addRuns(json, "alone", record.alone);
    addRuns(json, "cleared", record.cleared);
    return json.finish();
}

std::optional<StrikeRecord> decodeStrike(const std::string& text, MonotonicTime now)
{
    const auto json = parseJson(text);
    if (!json)
        return std::nullopt;
    StrikeRecord record;
    record.fingerprint = Fingerprint(std::strtoull(jsonString(*json, "fingerprint").c_str(), nullptr, 10));
    record.crashes = readRuns(*json, "crashes");
    record.alone = readRuns(*json, "alone");
    record.cleared = readRuns(*json, "cleared");
    record.expiresAt = now + std::chrono::milliseconds(jsonInteger(*json, "expires_ms"));
    return record;
}

} // namespace almondscale
