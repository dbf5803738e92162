#include "UsageController.h"

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "platform/UsageCodec.h"

#include <algorithm>
#include <chrono>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds checkInterval = milliseconds(50);
    constexpr Nanoseconds clockInterval = std::chrono::seconds(1);
    // A slow platform is given this long, since a repeated report costs a call.
    constexpr Nanoseconds reportTimeout = std::chrono::seconds(4);
    // Hosts of a system that starts for the first time do not start at the same moment.
    constexpr Nanoseconds startSpread = std::chrono::seconds(2);
    // Two whole frames.
    constexpr Nanoseconds flushTime = milliseconds(450);
    constexpr int statusOk = 200;

    WallTime wallClock()
    {
        return std::chrono::time_point_cast<Nanoseconds>(std::chrono::system_clock::now());
    }

    UsageRowsWritten decodeWritten(const RowsWritten& written)
    {
        return { written.outcome, written.version, platform::decodeUsageRows(written.current) };
    }

} // namespace

UsageController::UsageController(platform::StoreClient& store, DutyCalls& calls, const DutyLease& lease,
    UsageBounds bounds, bool firstStart, Hooks hooks)
    : m_store(store)
    , m_calls(calls)
    , m_lease(lease)
    , m_host(lease.host())
    , m_hooks(std::move(hooks))
    , m_meter(m_host, Incarnation(systemRandom()()), bounds)
    , m_collector(bounds)
    , m_reporter(bounds,
          firstStart ? std::optional(bounds.windowAt(wallClock() - startSpread)) : std::nullopt,
          reporterHooks())
{
    observeClock();
}

UsageReporter::Hooks UsageController::reporterHooks()
{
    UsageReporter::Hooks hooks;
    hooks.encodeBody = platform::encodeUsageBody;
    hooks.onFixed = [](UsageWindow window, const UsageReporter::Summary& summary) {
        LogEvent("usage_fixed")
            .with("window", window)
            .with("requests", summary.requests)
            .with("organisations", summary.organisations)
            .with("hosts", summary.hosts);
    };
    hooks.onDone = [this](UsageWindow window, const std::optional<UsageReporter::Summary>& summary,
                       int status, bool late) {
        const bool accepted = status == statusOk;
        LogEvent event(
            accepted ? "usage_reported" : "usage_skipped", accepted ? LogLevel::Info : LogLevel::Error);
        event.with("window", window).with("status", status).with("late", late);
        if (summary)
            event.with("requests", summary->requests)
                .with("organisations", summary->organisations)
                .with("hosts", summary->hosts);
        m_hooks.onReported(accepted ? UsageOutcome::Reported : UsageOutcome::Skipped, 1);
    };
    hooks.onLeftOut = [this](UsageWindow first, UsageWindow end) {
        LogEvent("usage_left_out", LogLevel::Warning)
            .with("window", first)
            .with("windows", (end - first).count())
            .with("last_sent", m_lastSent.value_or(SentReport()).window);
        m_hooks.onReported(UsageOutcome::LeftOut, (end - first).count());
    };
    hooks.lastSent = [this] { return m_lastSent; };
    hooks.hearsHosts = [this] { return m_hooks.hearsHosts(); };
    hooks.onSending = [this](const SentReport& report) {
        if (noteSent(report))
            m_hooks.tellHosts();
    };
    hooks.othersKnow = [this](UsageWindow window) { return m_hooks.hostsKnow(window); };
    hooks.onLate = [this](UsageWindow window, UsageReporter::LateReason reason, int lastStatus) {
        LogEvent("usage_late", LogLevel::Warning)
            .with("window", window)
            .with("reason", reason == UsageReporter::LateReason::Store ? "store" : "platform")
            .with("last_status", lastStatus);
        m_hooks.onLate();
    };
    return hooks;
}

void UsageController::observeClock()
{
    const auto now = bootTime();
    if (!m_nextObservation.passed(now))
        return;
    m_nextObservation = Deadline::after(now, clockInterval);
    m_time.observe(now, wallClock());
}

void UsageController::onRunBegan(const Organisation& organisation, MonotonicTime began)
{
    if (m_hooks.counts())
        m_meter.onRunBegan(organisation, m_time.at(began), trueTime());
}

void UsageController::onStoreRestored()
{
    m_meter.onStoreRestored();
    m_collector.onStoreRestored(bootTime(), m_lastSent ? std::optional(m_lastSent->window) : std::nullopt);
    m_reporter.onStoreRestored(bootTime());
}

std::vector<UsageRecordId> UsageController::storedSince(
    const std::set<HostId>& hosts, std::uint64_t& position) const
{
    return m_collector.storedSince(hosts, position);
}

void UsageController::noteStored(const UsageRecordId& id)
{
    m_meter.noteStored(id);
    m_collector.noteStoredByReader(id);
}

bool UsageController::noteSent(const SentReport& report)
{
    if (m_lastSent && m_lastSent->window >= report.window)
        return false;
    m_lastSent = report;
    return true;
}

std::int64_t UsageController::backlog() const { return m_tenure ? m_reporter.backlog(trueTime()) : 0; }

awaitable<void> UsageController::collect()
{
    for (;;) {
        observeClock();
        co_await writeRecords(false);
        co_await sleepFor(checkInterval);
    }
}

awaitable<void> UsageController::writeRecords(bool stopping)
{
    m_meter.advance(trueTime());
    for (const auto& record : m_meter.changesSince(m_collectedVersion))
        m_collector.add(record);
    const auto rows = m_collector.nextWrite(bootTime(), trueTime(), m_hooks.isReader(), stopping);
    if (rows.empty())
        co_return;
    const auto written = co_await m_store.writeOwnRows(platform::usageTable, platform::encodeUsageRows(rows));
    m_collector.onWritten(bootTime(), decodeWritten(written));
}

awaitable<void> UsageController::flush(Deadline deadline)
{
    co_await writeRecords(true);
    co_await sleepFor(std::min(flushTime, deadline.remaining(bootTime())));
}

bool UsageController::isHolder()
{
    if (!m_lease.mayAct()) {
        m_tenure.reset();
        return false;
    }
    if (m_tenure != m_lease.fencing()) {
        m_tenure = m_lease.fencing();
        m_reporter.begin(bootTime(), trueTime());
    }
    return true;
}

awaitable<void> UsageController::fixReports()
{
    for (;;) {
        if (isHolder()) {
            m_reporter.checkLate(trueTime());
            auto call = m_reporter.nextStoreCall(bootTime(), trueTime());
            if (call) {
                co_await callStore(std::move(*call));
                continue;
            }
        }
        co_await sleepFor(checkInterval);
    }
}

awaitable<void> UsageController::callStore(UsageReporter::StoreCall call)
{
    if (!call.write.empty()) {
        const auto written
            = co_await m_store.writeOwnRows(platform::usageTable, platform::encodeUsageRows(call.write));
        m_reporter.onWritten(bootTime(), decodeWritten(written));
        co_return;
    }
    const auto from = call.from ? platform::usageKeyOfWindow(*call.from) : platform::firstUsageKey();
    const auto read
        = co_await m_store.readRange(platform::usageTable, from, platform::usageKeyOfWindow(call.before));
    std::optional<std::vector<UsageRow>> rows;
    if (read)
        rows = platform::decodeUsageRows(read.value().rows);
    m_reporter.onRead(bootTime(), rows, read ? read.value().newest.era : StoreEra());
}

awaitable<void> UsageController::sendReports()
{
    for (;;) {
        auto report = m_tenure == m_lease.fencing() && m_lease.mayAct() ? m_reporter.nextReport(bootTime())
                                                                        : std::nullopt;
        if (!report) {
            co_await sleepFor(checkInterval);
            continue;
        }
        const auto status = co_await m_calls.send(
            [&report](const platform::DutyStamp& stamp) {
                return platform::encodeUsageReport(stamp, report->body);
            },
            Deadline::after(bootTime(), reportTimeout));
        m_reporter.onAnswer(bootTime(), trueTime(), report->window, status);
    }
}

} // namespace almondscale
