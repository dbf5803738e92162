#include "SuspectCoordinator.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Serving/RequestContent.h"

#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds writeInterval = milliseconds(100);
    constexpr Nanoseconds loadRetryDelay = milliseconds(500);
    // Keeps many crashes at once from using up the store's write rate.
    constexpr int maxWritesPerInterval = 4;
    // Longer than any request runs, so that the holder of an older lock has died.
    constexpr Nanoseconds maxRunTime = milliseconds(8000);
    constexpr int maxEnterAttempts = 3;
    constexpr int maxLeaveAttempts = 10;
    constexpr const char* serverKeyPrefix = "server/";

    std::int64_t wallClockMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<milliseconds>(now).count();
    }

    std::optional<CrashRecord> decodeRecord(const StoredRow& row)
    {
        const auto json = parseJson(row.value);
        const auto* record = json ? jsonMember(*json, "record") : nullptr;
        return record ? decodeCrashRecord(serializeJson(*record), bootTime(), wallClockMs()) : std::nullopt;
    }

    std::string holderOf(const StoredRow& row)
    {
        const auto json = parseJson(row.value);
        return json ? jsonString(*json, "holder") : std::string();
    }

} // namespace

SuspectCoordinator::SuspectCoordinator(platform::StoreClient& store, CrashRecords& crashes, HostId host)
    : m_store(store)
    , m_crashes(crashes)
    , m_host(std::move(host))
{
}

awaitable<void> SuspectCoordinator::run()
{
    co_await loadRecords();
    for (;;) {
        co_await sleepFor(writeInterval);
        for (int writes = 0; writes < maxWritesPerInterval && !m_unwritten.empty(); ++writes) {
            const auto content = *m_unwritten.begin();
            m_unwritten.erase(m_unwritten.begin());
            co_await writeRecord(content);
        }
    }
}

awaitable<void> SuspectCoordinator::loadRecords()
{
    auto rows = co_await m_store.readCrashRecords();
    while (!rows) {
        co_await sleepFor(loadRetryDelay);
        rows = co_await m_store.readCrashRecords();
    }
    std::size_t records = 0;
    for (const auto& row : rows.value().rows) {
        // Rows that this host locked before it restarted are free.
        if (holderOf(row) == m_host.text())
            m_versions[row.key] = row.version;
        if (row.key.rfind(serverKeyPrefix, 0) == 0)
            continue;
        const auto record = decodeRecord(row);
        if (!record) {
            LogEvent("crash_record_unreadable", LogLevel::Warning)
                .with("key", row.key)
                .with("store_version", row.version);
            continue;
        }
        m_crashes.merge(*record);
        ++records;
    }
    LogEvent("crash_records_read").with("records", records).with("store_version", rows.value().newest);
}

void SuspectCoordinator::noteServerEnd(Fingerprint content) { m_unwritten.insert(content); }

SuspectLock SuspectCoordinator::lane()
{
    return { [this](Fingerprint content, BackendId server) { return enter(content, std::move(server)); },
        [this](Fingerprint content, BackendId server) { return leave(content, std::move(server)); } };
}

RowVersion SuspectCoordinator::version(const std::string& key) const
{
    const auto found = m_versions.find(key);
    return found == m_versions.end() ? RowVersion(0) : found->second;
}

RowWrite SuspectCoordinator::recordRow(
    Fingerprint content, const std::string& holder, RowVersion expected) const
{
    RowWrite row { contentText(content), std::nullopt, expected };
    const auto* record = m_crashes.find(content);
    const bool suspect = record && m_crashes.suspicion(content, bootTime()) != Suspicion::None;
    if (!suspect && holder.empty())
        return row;
    const auto text
        = encodeCrashRecord(record ? *record : CrashRecord { content, {} }, bootTime(), wallClockMs());
    row.value = JsonBuilder().text("holder", holder).raw("record", text).finish();
    return row;
}

awaitable<void> SuspectCoordinator::writeRecord(Fingerprint content)
{
    // leave() writes the record.
    if (m_runningSuspects.count(content) > 0)
        co_return;
    std::vector<RowWrite> rows;
    rows.push_back(recordRow(content, std::string(), version(contentText(content))));
    if (!rows.front().value && rows.front().expected == RowVersion(0))
        co_return;
    const auto written = co_await m_store.writeCrashRecords(rows);
    if (written.outcome == WriteOutcome::Applied) {
        m_versions[rows.front().key] = rows.front().value ? written.version : RowVersion(0);
        co_return;
    }
    // The holder of the row writes the record; it learns of crashes at this host over the peer links.
    if (written.outcome == WriteOutcome::Conflict
        && mergeConflict(content, std::string(), written.current) == SuspectLockResult::ContentBusy)
        co_return;
    m_unwritten.insert(content);
}

awaitable<SuspectLockResult> SuspectCoordinator::enter(Fingerprint content, BackendId server)
{
    const auto running = m_runningSuspects.find(content);
    if (running != m_runningSuspects.end())
        co_return running->second.leavePending ? SuspectLockResult::Unavailable
                                               : SuspectLockResult::ContentBusy;
    m_runningSuspects[content] = {};
    const auto serverKey = serverKeyPrefix + server.text();
    auto entry = SuspectLockResult::ContentBusy;
    for (int attempt = 0; attempt < maxEnterAttempts; ++attempt) {
        std::vector<RowWrite> rows;
        rows.push_back(recordRow(content, m_host.text(), version(contentText(content))));
        rows.push_back({ serverKey,
            JsonBuilder().text("holder", m_host.text()).text("content", contentText(content)).finish(),
            version(serverKey) });
        const auto written = co_await m_store.writeCrashRecords(rows);
        if (written.outcome == WriteOutcome::Applied) {
            m_runningSuspects[content] = { written.version, written.version, false };
            LogEvent("suspect").with("content", contentText(content)).with("backend", server);
            co_return SuspectLockResult::Acquired;
        }
        if (written.outcome != WriteOutcome::Conflict) {
            entry = SuspectLockResult::Unavailable;
            LogEvent("suspect_not_apart", LogLevel::Warning)
                .with("content", contentText(content))
                .with("backend", server)
                .with("outcome", static_cast<int>(written.outcome));
            break;
        }
        entry = mergeConflict(content, serverKey, written.current);
        if (entry != SuspectLockResult::Acquired)
            break;
        entry = SuspectLockResult::ContentBusy;
    }
    m_runningSuspects.erase(content);
    co_return entry;
}

awaitable<void> SuspectCoordinator::leave(Fingerprint content, BackendId server)
{
    const auto serverKey = serverKeyPrefix + server.text();
    auto outcome = WriteOutcome::Unknown;
    for (int attempt = 0; attempt < maxLeaveAttempts; ++attempt) {
        const auto entry = m_runningSuspects[content];
        std::vector<RowWrite> rows;
        rows.push_back(recordRow(content, std::string(), entry.record));
        rows.push_back({ serverKey, std::nullopt, entry.server });
        const auto written = co_await m_store.writeCrashRecords(rows);
        outcome = written.outcome;
        if (outcome == WriteOutcome::Applied) {
            m_versions[rows.front().key] = rows.front().value ? written.version : RowVersion(0);
            m_versions.erase(serverKey);
        }
        if (outcome == WriteOutcome::Conflict)
            mergeConflict(content, serverKey, written.current);
        if (outcome == WriteOutcome::Applied || outcome == WriteOutcome::Conflict)
            break;
        m_runningSuspects[content].leavePending = true;
        co_await sleepFor(writeInterval);
    }
    m_runningSuspects.erase(content);
    // A conflict means that an earlier attempt took effect, or that another host took the rows over.
    if (outcome != WriteOutcome::Applied) {
        LogEvent("suspect_not_left", LogLevel::Warning)
            .with("content", contentText(content))
            .with("backend", server)
            .with("outcome", static_cast<int>(outcome));
        m_unwritten.insert(content);
    }
}

SuspectLockResult SuspectCoordinator::mergeConflict(
    Fingerprint content, const std::string& serverKey, const std::vector<StoredRow>& current)
{
    const auto key = contentText(content);
    m_versions.erase(key);
    m_versions.erase(serverKey);
    auto entry = SuspectLockResult::Acquired;
    for (const auto& row : current) {
        const bool taken = isHeld(row);
        if (!taken)
            m_versions[row.key] = row.version;
        if (row.key == serverKey && taken && entry == SuspectLockResult::Acquired)
            entry = SuspectLockResult::ServerBusy;
        if (row.key != key)
            continue;
        if (const auto record = decodeRecord(row))
            m_crashes.merge(*record);
        if (taken)
            entry = SuspectLockResult::ContentBusy;
    }
    return entry;
}

bool SuspectCoordinator::isHeld(const StoredRow& row)
{
    const auto holder = holderOf(row);
    if (holder.empty()) {
        m_heldRows.erase(row.key);
        return false;
    }
    auto& seen = m_heldRows[row.key];
    if (seen.version != row.version)
        seen = { row.version, bootTime() };
    return bootTime() - seen.since <= maxRunTime;
}

} // namespace almondscale
