#pragma once

#include "DutyCalls.h"
#include "Forwarding/BootClock.h"
#include "Serving/TrueTime.h"
#include "Serving/UsageCollector.h"
#include "Serving/UsageMeter.h"
#include "Serving/UsageOutcome.h"
#include "Serving/UsageReporter.h"
#include "platform/StoreClient.h"

#include <functional>
#include <optional>

namespace almondscale {

// Counts the requests of each organisation on this host, stores the records of the hosts that have it as
// their reader, and reports the usage of all hosts while this host holds the lease.
class UsageController {
public:
    struct Hooks {
        // Whether this host writes the records of its data centre.
        std::function<bool()> isReader;
        // Whether callers have organisations.
        std::function<bool()> counts;
        // How the reports of so many windows ended; a report became late.
        std::function<void(UsageOutcome, std::int64_t windows)> onReported;
        std::function<void()> onLate;
        // Whether this host learns of the reports that other hosts sent, and tells them of its own.
        std::function<bool()> hearsHosts;
        std::function<void()> tellHosts;
        std::function<bool(UsageWindow)> hostsKnow;
    };

    // `firstStart` is set if the system has not run before.
    UsageController(
        platform::StoreClient&, DutyCalls&, const DutyLease&, UsageBounds, bool firstStart, Hooks);

    // Each runs a part and does not return.
    awaitable<void> collect();
    awaitable<void> fixReports();
    awaitable<void> sendReports();
    // Stores the records of this host, or gives its reader the time to take them, before the process stops.
    awaitable<void> flush(Deadline);

    void onRunBegan(const Organisation&, MonotonicTime began);
    void onStoreRestored();
    void onStoreAnswered() { m_reporter.onStoreAnswered(bootTime()); }
    void onStoreFailed() { m_reporter.onStoreFailed(bootTime()); }

    // The exchange of records with other hosts, see PeerNetwork.
    std::vector<UsageRecord> changesSince(std::uint64_t& version) const
    {
        return m_meter.changesSince(version);
    }
    void addRecord(const UsageRecord& record) { m_collector.add(record); }
    std::vector<UsageRecordId> storedSince(const std::set<HostId>&, std::uint64_t& position) const;
    void noteStored(const UsageRecordId&);
    // The last report that any host may have sent, as far as this host knows.
    std::optional<SentReport> lastSent() const { return m_lastSent; }
    // Returns whether the report is later than those that this host knew of.
    bool noteSent(const SentReport&);

    // Windows that have ended and are not reported; 0 on a host that is not the holder.
    std::int64_t backlog() const;

private:
    WallTime trueTime() const { return m_time.at(bootTime()); }
    void observeClock();
    awaitable<void> writeRecords(bool stopping);
    awaitable<void> callStore(UsageReporter::StoreCall);
    // Whether this host holds the lease; starts anew after another host did.
    bool isHolder();
    UsageReporter::Hooks reporterHooks();

    platform::StoreClient& m_store;
    DutyCalls& m_calls;
    const DutyLease& m_lease;
    HostId m_host;
    Hooks m_hooks;
    TrueTime m_time;
    Deadline m_nextObservation;
    UsageMeter m_meter;
    std::uint64_t m_collectedVersion = 0;
    UsageCollector m_collector;
    UsageReporter m_reporter;
    std::optional<SentReport> m_lastSent;
    // The fencing number under which the reporter works.
    std::optional<FencingToken> m_tenure;
};

} // namespace almondscale
