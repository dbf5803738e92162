#pragma once

#include "Authority/LeaseRow.h"
#include "Authority/LeaseSettings.h"
#include "Core/Deadline.h"
#include "Platform/TableCall.h"

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// One host's view of one lease, as a state machine over table calls. It performs no
// I/O. To keep two hosts from holding the lease at once, the holder measures the
// duration, less the clock drift margin, from before it sent the renewal; a successor
// measures the whole duration from when it first read the current row version. Fencing
// numbers of a later era of the store are higher than all of earlier ones, whose row may be lost.
class Lease {
public:
    Lease(std::string rowKey, HostId, Incarnation, LeaseSettings);

    // The table call that is due, which must be sent at once. Returns std::nullopt if none is due
    // or one is in flight.
    std::optional<TableCall> nextCall(MonotonicTime now);
    // Takes the answer to the call that `nextCall` returned.
    void onAnswer(MonotonicTime now, const TableAnswer&);

    // Whether this host holds the lease at `now`.
    bool holds(MonotonicTime now) const;
    // Whether this host also may issue orders: it holds the lease, and orders that its predecessor
    // had in flight can no longer take effect.
    bool mayIssueOrders(MonotonicTime now) const;
    // Increases with each change of holder; valid only while `holds` is true.
    FencingToken fencing() const { return m_fencing; }
    Deadline validUntil() const { return m_validUntil; }
    // The row as last read or written, for status reports.
    const std::optional<LeaseRow>& lastSeen() const { return m_row; }

    // Starts the release of the lease. The caller must have no order in flight and issue none
    // afterwards.
    void release();
    // Whether a release was requested and has completed.
    bool releaseDone() const;

    // The state as key=value text, without the time of the next call. Used in logs and to compare
    // states in model checking.
    std::string describe() const;

private:
    enum class Pending {
        None,
        Read,
        Renew,
        Acquire,
        Release,
    };

    bool isOwn(const LeaseRow&) const;
    bool mayAcquire(MonotonicTime now) const;
    TableCall write(Pending, MonotonicTime now, const LeaseRow&);
    TableCall read();
    TableCall renewOrRelease(MonotonicTime now);
    TableCall acquire(MonotonicTime now);
    void onRead(MonotonicTime now, const TableAnswer&);
    void onWritten(MonotonicTime now, Pending, const WriteResult&);
    void adoptRow(MonotonicTime now, const TableRow&);
    void adoptOwnRow(MonotonicTime now, const TableRow&, const LeaseRow&);
    // Returns whether the store has started a later era than that of the last answer.
    bool noteEra(StoreEra);
    FencingToken nextFencing() const;
    void extend(MonotonicTime now);
    void becomeHolder(MonotonicTime now);
    void markLost();

    std::string m_key;
    HostId m_host;
    Incarnation m_incarnation;
    LeaseSettings m_settings;

    // The row as last read or written, and when its version was first read.
    std::optional<LeaseRow> m_row;
    RowVersion m_version;
    MonotonicTime m_seenAt {};
    // The era of the last answer, and those in which this host last was the holder and last wrote the row.
    StoreEra m_era;
    StoreEra m_heldEra;
    StoreEra m_writtenEra;
    bool m_rowCurrent = false;

    bool m_held = false;
    FencingToken m_fencing;
    Deadline m_validUntil;
    Deadline m_ordersAllowedFrom;
    bool m_releasing = false;
    bool m_released = false;

    Pending m_pending = Pending::None;
    // The writer id of the last write, and when it was sent.
    WriterId m_writer;
    MonotonicTime m_sentAt {};
    std::uint64_t m_writes = 0;
    Deadline m_nextAt;
};

} // namespace almondscale
