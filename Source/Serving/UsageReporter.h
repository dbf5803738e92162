#pragma once

#include "Core/Deadline.h"
#include "Serving/SentReport.h"
#include "Serving/UsageBounds.h"
#include "Serving/UsageRow.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondscale {

// What the holder of the duty does to report usage: reads the records of each window, fixes the body of its
// report in the store, and sends it until the platform acknowledges it, in the order of the windows. States
// which call is due and takes the results; performs no I/O. A body is sent only once it is known to be
// stored, so that every holder sends the same bytes.
class UsageReporter {
public:
    // Either a read of the rows of the windows [from, before), or of all rows before that window if `from` is
    // unset; or a write.
    struct StoreCall {
        std::optional<UsageWindow> from;
        UsageWindow before;
        std::vector<UsageRow> write;
    };
    struct Report {
        UsageWindow window;
        std::string body;
    };
    // What is logged of a report.
    struct Summary {
        std::uint64_t requests = 0;
        std::size_t organisations = 0;
        std::size_t hosts = 0;
    };
    enum class LateReason {
        // No body is fixed, since the store did not answer.
        Store,
        // The platform did not acknowledge this report or an earlier one.
        Platform,
    };
    struct Hooks {
        std::function<std::string(UsageWindow, const UsageCounts&)> encodeBody;
        std::function<void(UsageWindow, const Summary&)> onFixed = {};
        // The platform acknowledged the report, or refused it so often that it is skipped. The summary is
        // unset if an earlier holder fixed the body.
        std::function<void(UsageWindow, const std::optional<Summary>&, int status, bool late)> onDone = {};
        // The report of the window is due and not acknowledged.
        std::function<void(UsageWindow, LateReason, int lastStatus)> onLate = {};
        // The windows before `end` are not reported: the store lost what was known of them, and an earlier
        // holder may have reported them.
        std::function<void(UsageWindow first, UsageWindow end)> onLeftOut = {};
        // The last report that any host may have sent, as far as this host knows.
        std::function<std::optional<SentReport>()> lastSent = {};
        // Whether the other hosts can tell this one what they know of that.
        std::function<bool()> hearsHosts = {};
        // The report will be sent, once the other hosts know.
        std::function<void(const SentReport&)> onSending = {};
        std::function<bool(UsageWindow)> othersKnow = {};
    };

    // `first` is the window from which a system that starts for the first time is reported; unset if this
    // process was started again.
    UsageReporter(UsageBounds, std::optional<UsageWindow> first, Hooks);

    // This host has become the holder: what an earlier holder did is read first.
    void begin(MonotonicTime now, WallTime);
    // The store came back from an older copy. Hosts get the time to write again what it lost.
    void onStoreRestored(MonotonicTime now);
    // A call of this host to the store, of any kind, has succeeded or failed, also while it is not the
    // holder. After a failure for some time, readers get the time to write the records that they kept.
    void onStoreAnswered(MonotonicTime now);
    void onStoreFailed(MonotonicTime now);

    // The call to the store that is due; none while one is in flight.
    std::optional<StoreCall> nextStoreCall(MonotonicTime now, WallTime);
    // Takes the result of a read in an era of the store; unset if it failed.
    void onRead(MonotonicTime now, const std::optional<std::vector<UsageRow>>&, StoreEra = StoreEra());
    void onWritten(MonotonicTime now, const UsageRowsWritten&);

    // The report to send now; none while one is in flight.
    std::optional<Report> nextReport(MonotonicTime now);
    // Takes the HTTP status of the response to the report of the window; 0 if there was none, or the report
    // was not sent.
    void onAnswer(MonotonicTime now, WallTime, UsageWindow, int status);

    // Calls onLate for each window whose report has become late.
    void checkLate(WallTime);
    // Windows that have ended and are not reported.
    std::int64_t backlog(WallTime) const;

private:
    struct Body {
        std::string text;
        // Unset while the row is not known to be stored.
        std::optional<RowVersion> version;
        // The row was known to be stored at some time, so that the body may have been sent.
        bool wasStored = false;
        // This host may have sent it.
        bool wasSent = false;
        std::optional<Summary> summary;
    };

    // What the records of one window add up to.
    struct Sum {
        UsageCounts counts;
        std::map<HostId, std::uint64_t> hosts;
        std::uint64_t requests = 0;
    };

    static std::map<UsageWindow, Sum> sumUp(const std::vector<UsageRow>&);
    // Whether hosts that counted in the last window have no record in this one, which they may still write.
    bool lacksHosts(const Sum&) const;
    void adoptProgress(MonotonicTime now, const std::vector<UsageRow>&);
    void adoptRows(MonotonicTime now, const std::vector<UsageRow>&);
    // Determines, after the store has lost rows, which windows an earlier holder may have reported. Returns
    // false if other hosts may still tell.
    bool learnFixFrom(MonotonicTime now);
    std::optional<SentReport> lastSent() const;
    // Whether an earlier holder may have sent another body than the stored one, if any.
    bool isUnknown(UsageWindow) const;
    void leaveOutUnknown();
    void writeBodies(MonotonicTime now, const std::vector<UsageRow>&);
    void prepareWrite(MonotonicTime now, const std::vector<UsageRow>&);
    void takeRemovals();
    void delayStoreCalls(MonotonicTime now);
    bool isDone(UsageWindow window) const { return window < m_next; }

    UsageBounds m_bounds;
    std::optional<UsageWindow> m_first;
    Hooks m_hooks;

    // All rows must be read before anything else: at the start, and after a write with an unclear result.
    bool m_mustReadAll = true;
    // Progress is known, so that reports may be sent.
    bool m_started = false;
    // Whether m_fixFrom is known for this time as the holder, and until when other hosts are waited for.
    bool m_fixFromKnown = false;
    Deadline m_hearUntil;
    // The window in which this host became the holder.
    UsageWindow m_heldFrom;
    // An earlier holder may have sent a body, which the store lost, of the windows before this one; the last
    // of them is known by the hash of its body if other hosts knew it.
    UsageWindow m_fixFrom;
    std::optional<SentReport> m_sentBefore;
    StoreEra m_era;
    bool m_storeWasRestored = false;
    // The window whose report the other hosts were told of, and until when their confirmation is waited for.
    std::optional<UsageWindow> m_announced;
    Deadline m_confirmUntil;
    bool m_storeCallInFlight = false;
    // The windows of the last read end before this one.
    UsageWindow m_readBefore;
    // The true time of that read.
    WallTime m_readAt {};
    // Requests by host in the last window that this host fixed.
    std::map<HostId, std::uint64_t> m_lastHosts;
    std::vector<UsageRow> m_write;
    // Rows to remove once m_write is done, as one write takes a limited number.
    std::vector<UsageRow> m_removals;
    Deadline m_storeRetryAt;
    Deadline m_nextReadAt;
    int m_storeFailures = 0;
    // The first failure since the last success, and until when no body is fixed after a time of failures.
    std::optional<MonotonicTime> m_failingSince;
    Deadline m_settledAt;

    // The first window that is not acknowledged, and the version of the row that states it.
    UsageWindow m_next;
    RowVersion m_progressVersion;
    std::map<UsageWindow, Body> m_bodies;

    bool m_sending = false;
    Deadline m_sendRetryAt;
    int m_sendFailures = 0;
    int m_refusals = 0;
    int m_lastStatus = 0;
    // The first window that is not yet known to be late.
    UsageWindow m_lateNext;
};

} // namespace almondscale
