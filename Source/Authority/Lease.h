#pragma once

#include "Authority/LeaseRow.h"
#include "Authority/LeaseSettings.h"
#include "Core/Deadline.h"
#include "Platform/TableCall.h"

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// One host's view of one lease, as a state machine over calls of the table. The
// holder counts from before its renewal was sent, less the margin; a successor
// counts the whole duration from after it read the row unchanged.
class Lease {
public:
    Lease(std::string rowKey, HostId, Incarnation, LeaseSettings);

    // The call that is due, which must be sent at once; nothing if none is due or one is under way.
    std::optional<TableCall> nextCall(MonotonicTime now);
    void onAnswer(MonotonicTime now, const TableAnswer&);

    // Whether this host may act as the holder at this instant.
    bool holds(MonotonicTime now) const;
    // Whether it may give orders too: the orders of its predecessor have settled.
    bool mayOrder(MonotonicTime now) const;
    // Rises with each holder; holds while `holds` does.
    FencingNumber fencing() const { return m_fencing; }
    Deadline validUntil() const { return m_validUntil; }
    // What the table last told, for status reports.
    const std::optional<LeaseRow>& lastSeen() const { return m_row; }

    // Gives the lease up; the caller has no order under way and gives none afterwards.
    void release();
    // Whether nothing is left to do after a release.
    bool releaseDone() const;

    // The state in a few words, but for when the next call is due; for logs and to compare states.
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
    void extend(MonotonicTime now);
    void becomeHolder(MonotonicTime now);
    void markLost();

    std::string m_key;
    HostId m_host;
    Incarnation m_incarnation;
    LeaseSettings m_settings;

    // What the table last told, and when this version was first seen.
    std::optional<LeaseRow> m_row;
    RowVersion m_version;
    MonotonicTime m_seenAt {};
    bool m_rowCurrent = false;

    bool m_held = false;
    FencingNumber m_fencing;
    Deadline m_validUntil;
    Deadline m_ordersAllowedFrom;
    bool m_releasing = false;
    bool m_released = false;

    Pending m_pending = Pending::None;
    // The last write and when it was sent.
    WriterId m_writer;
    MonotonicTime m_sentAt {};
    std::uint64_t m_writes = 0;
    Deadline m_nextAt;
};

} // namespace almondscale
