#include "TableSynchronizer.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds readerRetryDelay = milliseconds(200);
    constexpr Nanoseconds enrollmentRetryDelay = milliseconds(800);
    // Time over which hosts spread the writes of their rows.
    constexpr Nanoseconds enrollmentSpread = milliseconds(1500);
    constexpr Nanoseconds checkInterval = milliseconds(50);
    // A connected reader delivers the tables within this time. A host without them rejects
    // requests, so it waits no longer before it reads them from the store.
    constexpr Nanoseconds startupDelay = milliseconds(60);

} // namespace

TableSynchronizer::TableSynchronizer(
    platform::StoreClient& store, RowMirror& mirror, HostRecord self, const TableBounds& bounds, Hooks hooks)
    : m_store(store)
    , m_mirror(mirror)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_random(systemRandom())
    , m_startedAt(bootTime())
{
    for (const auto table : sharedTables) {
        const auto schedule = readSchedule(table, bounds);
        m_reads.emplace(table, Reads { schedule, ReadPacer(schedule.minAnswerTime, schedule.minRetryDelay) });
    }
}

bool TableSynchronizer::isDue(SharedTable table) const
{
    // The table of hosts determines the reader, so every host without a copy reads it.
    if (table == SharedTable::Hosts && m_mirror.empty(table))
        return true;
    if (m_hooks.reader() || isOfEarlierEra(table) || isManifestReadDue(table))
        return true;
    const auto& schedule = m_reads.at(table).schedule;
    const auto since = std::max(m_mirror.currentAt(table), m_startedAt + startupDelay - schedule.maxAge);
    return bootTime() - since > schedule.maxAge;
}

bool TableSynchronizer::isManifestReadDue(SharedTable table) const
{
    return table == SharedTable::Manifest && m_hooks.isManifestReadDue && m_hooks.isManifestReadDue();
}

Nanoseconds TableSynchronizer::startRead(SharedTable table)
{
    const auto& reads = m_reads.at(table);
    auto wait = reads.schedule.longPollTime;
    if (table == SharedTable::Manifest && m_hooks.onManifestReadStart)
        wait = std::min(wait, m_hooks.onManifestReadStart());
    // An old copy is confirmed at once: its host may be the only one to know that it is old.
    const bool old = bootTime() - m_mirror.currentAt(table) > reads.schedule.maxAge;
    return old || reads.pacer.failing() ? Nanoseconds() : wait;
}

RowVersion TableSynchronizer::feedPosition(SharedTable table) const
{
    // Registrations are written again and again, so that a change which was passed by does not stay unknown,
    // and each read would return more of them.
    return table == SharedTable::Backends ? m_mirror.version(table).version
                                          : m_mirror.feedPosition(table, bootTime());
}

bool TableSynchronizer::isOfEarlierEra(SharedTable table) const
{
    return !m_mirror.empty(table) && m_mirror.version(table).era < m_store.era();
}

awaitable<void> TableSynchronizer::follow(SharedTable table)
{
    auto& [schedule, pacer] = m_reads.at(table);
    for (;;) {
        if (!isDue(table)) {
            co_await sleepFor(checkInterval);
            continue;
        }
        const bool read = co_await readOnce(table);
        if (read) {
            co_await sleepFor(m_hooks.reader() && !isOfEarlierEra(table) ? schedule.interval : checkInterval);
            continue;
        }
        m_hooks.onReadFailed(table);
        pacer.onFailure();
        const auto delay = pacer.retryDelay(uniform(m_random));
        co_await sleepFor(m_hooks.reader() ? std::min(delay, readerRetryDelay) : delay);
    }
}

awaitable<bool> TableSynchronizer::readOnce(SharedTable table)
{
    Result<StoredRows> rows = ErrorKind::PlatformUnavailable;
    const auto askedAt = bootTime();
    const auto before = m_mirror.version(table);
    const bool whole = m_mirror.empty(table) || m_snapshotNeeded.count(table) > 0 || isOfEarlierEra(table);
    const auto wait = whole ? Nanoseconds() : startRead(table);
    auto& pacer = m_reads.at(table).pacer;
    std::optional<MonotonicTime> respondedAt;
    const auto noteResponse = [&respondedAt](MonotonicTime at) { respondedAt = respondedAt.value_or(at); };
    if (whole)
        rows = co_await m_store.read(table, noteResponse);
    else
        rows = co_await m_store.readChanges(
            table, feedPosition(table), wait, pacer.answerTime(), noteResponse);
    const auto answeredAt = bootTime();
    if (rows && respondedAt)
        pacer.onAnswer(std::max(Nanoseconds(), *respondedAt - askedAt - wait));
    // The changes since a version of an earlier era say nothing.
    if (rows && !whole && rows.value().newest.era != before.era)
        co_return true;
    if (rows && rows.value().historyCompacted) {
        LogEvent("store_history_gone").with("table", sharedTableName(table)).with("version", before);
        // The feeds of the other tables may have passed changes by too.
        m_snapshotNeeded.insert(sharedTables.begin(), sharedTables.end());
        co_return true;
    }
    const bool changed = rows.ok() ? m_unavailable.erase(table) > 0 : m_unavailable.insert(table).second;
    if (changed) {
        LogEvent(rows.ok() ? "store_regained" : "store_lost", LogLevel::Warning)
            .with("table", sharedTableName(table))
            .with("error", rows.ok() ? std::string() : rows.error().message());
    }
    // A snapshot that is older than the copy lacks the missed changes.
    if (!rows || (whole && rows.value().newest < before))
        co_return false;
    if (whole)
        m_snapshotNeeded.erase(table);
    // A long poll that ended without a change shows that there was none for as long as the store waited; its
    // response may then have been late by any time.
    const bool waited = !whole && rows.value().rows.empty() && answeredAt >= askedAt + wait;
    m_mirror.apply(table, rows.value(), waited ? askedAt + wait : askedAt, answeredAt);
    m_hooks.onRead(table);
    // An answer that is cut short, or older than the copy was, does not show the newest version.
    if (m_hooks.onNewest && !rows.value().more && before <= rows.value().newest)
        m_hooks.onNewest(table, rows.value().newest, askedAt);
    co_return true;
}

awaitable<void> TableSynchronizer::enroll()
{
    const auto wanted = encodeHostRecord(m_self);
    // Older copies need not be checked for the row.
    StoreVersion checked;
    for (;;) {
        co_await sleepFor(checkInterval);
        if (m_mirror.empty(SharedTable::Hosts) || m_mirror.version(SharedTable::Hosts) <= checked)
            continue;
        RowVersion version;
        bool enrolled = false;
        const auto rows = m_mirror.changesSince(SharedTable::Hosts, StoreVersion());
        if (rows) {
            for (const auto& row : rows->rows) {
                if (row.key != m_self.id.text())
                    continue;
                version = row.version;
                enrolled = row.value == wanted;
            }
        }
        if (enrolled) {
            checked = m_mirror.version(SharedTable::Hosts);
            continue;
        }
        // When the store has lost the rows of many hosts, they do not write them all at once.
        if (m_mirror.hasSeenEraChange())
            co_await sleepFor(
                Nanoseconds(static_cast<std::int64_t>(uniform(m_random) * enrollmentSpread.count())));
        const auto written = co_await m_store.writeHost(m_self.id, wanted, version);
        LogEvent("enrolled").with("host", m_self.id).with("outcome", static_cast<int>(written.outcome));
        if (written.outcome == WriteOutcome::Applied)
            checked = { m_store.era(), written.version };
        else
            co_await sleepFor(enrollmentRetryDelay);
    }
}

} // namespace almondscale
