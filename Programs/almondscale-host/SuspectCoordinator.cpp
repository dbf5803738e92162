#include "SuspectCoordinator.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Serving/RequestContent.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds writeInterval = milliseconds(100);
    constexpr Nanoseconds retryDelay = milliseconds(500);
    constexpr Nanoseconds reviewInterval = milliseconds(1000);
    // Keeps many crashes at once from using up the store's write rate.
    constexpr std::size_t maxWritesPerInterval = 4;
    // Longer than any request runs, so that the holder of an older lock has died.
    constexpr Nanoseconds maxRunTime = milliseconds(8000);
    // Consecutive terminations from which the record of a part is stored.
    constexpr int suspectPartEnds = 2;
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
    while (!co_await loadRecords(true))
        co_await sleepFor(retryDelay);
    auto reviewAt = Deadline::after(bootTime(), reviewInterval);
    for (;;) {
        co_await sleepFor(writeInterval);
        if (reviewAt.passed(bootTime())) {
            reviewAt = Deadline::after(bootTime(), reviewInterval);
            reviewRows();
            if (isCutOff && isCutOff())
                co_await loadRecords(false);
        }
        bool answered = true;
        for (const auto& subject : takeUnwritten()) {
            if (answered)
                answered = co_await writeRecord(subject);
            if (!answered)
                m_unwritten.insert(subject);
        }
        if (!answered)
            co_await sleepFor(retryDelay);
    }
}

awaitable<bool> SuspectCoordinator::loadRecords(bool atStart)
{
    const auto rows = co_await m_store.readCrashRecords();
    if (!rows)
        co_return false;
    std::size_t records = 0;
    const auto before = m_crashes.version();
    for (const auto& row : rows.value().rows) {
        // Rows that this host locked before it restarted are free.
        if (atStart && holderOf(row) == m_host.text())
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
    if (atStart || before < m_crashes.version())
        LogEvent("crash_records_read").with("records", records).with("store_version", rows.value().newest);
    co_return true;
}

void SuspectCoordinator::noteServerEnd(const RequestSubjects& subjects)
{
    for (auto* set : { &m_unwritten, &m_watched }) {
        set->insert(subjects.content);
        set->insert(subjects.sharedParts.begin(), subjects.sharedParts.end());
    }
}

void SuspectCoordinator::onStoreRestored()
{
    m_versions.clear();
    m_heldRows.clear();
    m_unwritten.insert(m_watched.begin(), m_watched.end());
}

std::vector<CrashSubject> SuspectCoordinator::takeUnwritten()
{
    if (m_writeQueue.empty())
        fillWriteQueue();
    std::vector<CrashSubject> taken;
    while (taken.size() < maxWritesPerInterval && !m_writeQueue.empty()) {
        if (needsWrite(m_writeQueue.back()))
            taken.push_back(m_writeQueue.back());
        m_writeQueue.pop_back();
    }
    return taken;
}

void SuspectCoordinator::fillWriteQueue()
{
    std::vector<std::pair<int, CrashSubject>> byEnds;
    for (const auto& subject : m_unwritten) {
        if (needsWrite(subject))
            byEnds.emplace_back(m_crashes.consecutiveEnds(subject), subject);
    }
    m_unwritten.clear();
    std::sort(byEnds.begin(), byEnds.end());
    m_writeQueue.reserve(byEnds.size());
    for (const auto& entry : byEnds)
        m_writeQueue.push_back(entry.second);
}

void SuspectCoordinator::reviewRows()
{
    // The order may have changed.
    m_unwritten.insert(m_writeQueue.begin(), m_writeQueue.end());
    m_writeQueue.clear();
    for (auto watched = m_watched.begin(); watched != m_watched.end();) {
        const bool stored = m_versions.count(subjectText(*watched)) > 0;
        if (isSuspect(*watched) != stored)
            m_unwritten.insert(*watched);
        const bool forgotten = !stored && !m_crashes.find(*watched);
        watched = forgotten ? m_watched.erase(watched) : std::next(watched);
    }
}

SuspectLock SuspectCoordinator::lane()
{
    return { [this](CrashSubject subject, BackendId server) { return enter(subject, std::move(server)); },
        [this](CrashSubject subject, BackendId server) { return leave(subject, std::move(server)); } };
}

bool SuspectCoordinator::isSuspect(const CrashSubject& subject) const
{
    // Of the terminations in a row, each data centre may know only one.
    const int partEnds = isCutOff && isCutOff() ? 1 : suspectPartEnds;
    return m_crashes.isSuspect(subject, bootTime(), partEnds);
}

RowVersion SuspectCoordinator::version(const std::string& key) const
{
    const auto found = m_versions.find(key);
    return found == m_versions.end() ? RowVersion(0) : found->second;
}

RowWrite SuspectCoordinator::recordRow(
    const CrashSubject& subject, const std::string& holder, RowVersion expected) const
{
    RowWrite row { subjectText(subject), std::nullopt, expected };
    const auto* record = m_crashes.find(subject);
    const bool suspect = record && isSuspect(subject);
    if (!suspect && holder.empty())
        return row;
    const auto text = encodeCrashRecord(
        record ? *record : CrashRecord { subject, {}, std::nullopt }, bootTime(), wallClockMs());
    row.value = JsonBuilder().text("holder", holder).raw("record", text).finish();
    return row;
}

bool SuspectCoordinator::needsWrite(const CrashSubject& subject) const
{
    // leave() writes the record of a running suspect.
    if (m_runningSuspects.count(subject) > 0)
        return false;
    return isSuspect(subject) || m_versions.count(subjectText(subject)) > 0;
}

awaitable<bool> SuspectCoordinator::writeRecord(CrashSubject subject)
{
    std::vector<RowWrite> rows;
    rows.push_back(recordRow(subject, std::string(), version(subjectText(subject))));
    const auto written = co_await m_store.writeCrashRecords(rows);
    if (written.outcome == WriteOutcome::Applied) {
        noteRow(rows.front(), written.version);
        co_return true;
    }
    if (written.outcome != WriteOutcome::Conflict)
        co_return false;
    // The holder of the row writes the record; it learns of crashes at this host over the peer links.
    if (mergeConflict(subject, std::string(), written.current) != SuspectLockResult::SubjectBusy)
        m_unwritten.insert(subject);
    co_return true;
}

void SuspectCoordinator::noteRow(const RowWrite& row, RowVersion version)
{
    if (row.value)
        m_versions[row.key] = version;
    else
        m_versions.erase(row.key);
}

awaitable<SuspectLockResult> SuspectCoordinator::enter(CrashSubject subject, BackendId server)
{
    const auto running = m_runningSuspects.find(subject);
    if (running != m_runningSuspects.end())
        co_return running->second.leavePending ? SuspectLockResult::Unavailable
                                               : SuspectLockResult::SubjectBusy;
    m_runningSuspects[subject] = {};
    const auto serverKey = serverKeyPrefix + server.text();
    auto entry = SuspectLockResult::SubjectBusy;
    for (int attempt = 0; attempt < maxEnterAttempts; ++attempt) {
        std::vector<RowWrite> rows;
        rows.push_back(recordRow(subject, m_host.text(), version(subjectText(subject))));
        rows.push_back({ serverKey,
            JsonBuilder().text("holder", m_host.text()).text("content", subjectText(subject)).finish(),
            version(serverKey) });
        const auto written = co_await m_store.writeCrashRecords(rows);
        if (written.outcome == WriteOutcome::Applied) {
            m_runningSuspects[subject] = { written.version, written.version, false };
            LogEvent("suspect")
                .with(subject.isPart ? "part" : "content", subjectName(subject))
                .with("backend", server);
            co_return SuspectLockResult::Acquired;
        }
        if (written.outcome != WriteOutcome::Conflict) {
            entry = SuspectLockResult::Unavailable;
            LogEvent("suspect_not_apart", LogLevel::Warning)
                .with(subject.isPart ? "part" : "content", subjectName(subject))
                .with("backend", server)
                .with("outcome", static_cast<int>(written.outcome));
            break;
        }
        entry = mergeConflict(subject, serverKey, written.current);
        if (entry != SuspectLockResult::Acquired)
            break;
        entry = SuspectLockResult::SubjectBusy;
    }
    m_runningSuspects.erase(subject);
    co_return entry;
}

awaitable<void> SuspectCoordinator::leave(CrashSubject subject, BackendId server)
{
    const auto serverKey = serverKeyPrefix + server.text();
    auto outcome = WriteOutcome::Unknown;
    for (int attempt = 0; attempt < maxLeaveAttempts; ++attempt) {
        const auto entry = m_runningSuspects[subject];
        std::vector<RowWrite> rows;
        rows.push_back(recordRow(subject, std::string(), entry.record));
        rows.push_back({ serverKey, std::nullopt, entry.server });
        const auto written = co_await m_store.writeCrashRecords(rows);
        outcome = written.outcome;
        if (outcome == WriteOutcome::Applied) {
            noteRow(rows.front(), written.version);
            m_versions.erase(serverKey);
        }
        if (outcome == WriteOutcome::Conflict)
            mergeConflict(subject, serverKey, written.current);
        if (outcome == WriteOutcome::Applied || outcome == WriteOutcome::Conflict)
            break;
        m_runningSuspects[subject].leavePending = true;
        co_await sleepFor(writeInterval);
    }
    m_runningSuspects.erase(subject);
    // A conflict means that an earlier attempt took effect, or that another host took the rows over.
    if (outcome != WriteOutcome::Applied) {
        LogEvent("suspect_not_left", LogLevel::Warning)
            .with(subject.isPart ? "part" : "content", subjectName(subject))
            .with("backend", server)
            .with("outcome", static_cast<int>(outcome));
        m_unwritten.insert(subject);
    }
}

SuspectLockResult SuspectCoordinator::mergeConflict(
    const CrashSubject& subject, const std::string& serverKey, const std::vector<StoredRow>& current)
{
    const auto key = subjectText(subject);
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
            entry = SuspectLockResult::SubjectBusy;
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
