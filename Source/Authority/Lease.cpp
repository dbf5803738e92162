#include "Authority/Lease.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    // Lets an era have four thousand million holders, and JSON numbers hold two million eras.
    constexpr unsigned fencingBitsPerEra = 32;

} // namespace

Lease::Lease(std::string rowKey, HostId host, Incarnation incarnation, LeaseSettings settings)
    : m_key(std::move(rowKey))
    , m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_settings(settings)
{
}

std::optional<TableCall> Lease::nextCall(MonotonicTime now)
{
    if (m_pending != Pending::None || m_released || !m_nextAt.passed(now))
        return std::nullopt;
    if (!m_rowCurrent)
        return read();
    if (m_held)
        return renewOrRelease(now);
    if (!m_releasing && mayAcquire(now))
        return acquire(now);
    return read();
}

void Lease::onAnswer(MonotonicTime now, const TableAnswer& answer)
{
    const auto pending = std::exchange(m_pending, Pending::None);
    const bool eraChanged = noteEra(answer.era);
    if (pending == Pending::Read)
        onRead(now, answer);
    // A write across an era change may be lost, or have a fencing number of the earlier era.
    else if (pending != Pending::None && !eraChanged)
        onWritten(now, pending, answer.written);
    else
        m_nextAt = Deadline();
}

bool Lease::holds(MonotonicTime now) const { return m_held && !m_releasing && !m_validUntil.passed(now); }

bool Lease::mayIssueOrders(MonotonicTime now) const { return holds(now) && m_ordersAllowedFrom.passed(now); }

void Lease::release()
{
    m_releasing = true;
    m_nextAt = Deadline();
}

bool Lease::releaseDone() const
{
    // An acquisition that is in flight or has an unknown outcome may still make this host the holder.
    const bool settled = m_pending == Pending::None && m_rowCurrent;
    return m_releasing && (m_released || (settled && !m_held));
}

bool Lease::isOwn(const LeaseRow& row) const
{
    return row.holder == m_host && row.incarnation == m_incarnation;
}

bool Lease::mayAcquire(MonotonicTime now) const
{
    if (!m_row || m_row->released)
        return true;
    return now - m_seenAt >= m_row->duration;
}

TableCall Lease::read()
{
    m_pending = Pending::Read;
    TableCall call;
    call.key = m_key;
    return call;
}

TableCall Lease::write(Pending kind, MonotonicTime now, const LeaseRow& row)
{
    m_pending = kind;
    m_sentAt = now;
    m_writtenEra = m_era;
    m_writer = WriterId("lease-" + m_host.text() + "-" + std::to_string(m_incarnation.count()) + "-"
        + std::to_string(++m_writes));
    TableCall call;
    call.kind = TableCall::Kind::Write;
    call.key = m_key;
    call.value = encodeLeaseRow(row);
    call.expected = m_version;
    call.writer = m_writer;
    return call;
}

TableCall Lease::renewOrRelease(MonotonicTime now)
{
    const LeaseRow row { m_host, m_incarnation, m_fencing, m_settings.duration, m_releasing };
    return write(m_releasing ? Pending::Release : Pending::Renew, now, row);
}

bool Lease::noteEra(StoreEra era)
{
    if (era <= m_era)
        return false;
    m_era = era;
    // The same version may belong to another row now.
    m_row.reset();
    m_rowCurrent = false;
    return true;
}

FencingToken Lease::nextFencing() const
{
    const auto last = m_row ? m_row->fencing : FencingToken(0);
    return std::max(last, FencingToken(m_era.count() << fencingBitsPerEra)) + FencingToken(1);
}

TableCall Lease::acquire(MonotonicTime now)
{
    const LeaseRow row { m_host, m_incarnation, nextFencing(), m_settings.duration, false };
    return write(Pending::Acquire, now, row);
}

void Lease::onRead(MonotonicTime now, const TableAnswer& answer)
{
    if (!answer.answered) {
        m_nextAt = Deadline::after(now, m_settings.retryInterval);
        return;
    }
    if (answer.row)
        return adoptRow(now, *answer.row);
    m_rowCurrent = true;
    m_row.reset();
    m_version = RowVersion(0);
    markLost();
    m_nextAt = Deadline();
}

void Lease::onWritten(MonotonicTime now, Pending kind, const WriteResult& written)
{
    m_nextAt = Deadline();
    if (written.outcome == WriteOutcome::NotApplied) {
        m_nextAt = Deadline::after(now, m_settings.retryInterval);
        return;
    }
    if (written.outcome != WriteOutcome::Applied) {
        // The write may or may not have been applied, so the row must be read again.
        m_rowCurrent = false;
        return;
    }
    m_version = written.version;
    if (kind == Pending::Release) {
        m_held = false;
        m_released = true;
        return;
    }
    if (kind == Pending::Acquire) {
        m_fencing = nextFencing();
        m_row = LeaseRow { m_host, m_incarnation, m_fencing, m_settings.duration, false };
    }
    extend(now);
}

void Lease::adoptRow(MonotonicTime now, const TableRow& row)
{
    const bool sameVersion = m_row && row.version == m_version;
    const auto read = decodeLeaseRow(row.value);
    m_rowCurrent = true;
    m_nextAt = Deadline::after(now, m_settings.watchInterval);
    // A row of this host from an earlier era counts as that of another one: another host may have held the
    // lease in the time that the store has lost, or acquired it in this era before a late write of this host.
    const bool confirmed = m_heldEra == m_era || (row.writer == m_writer && m_writtenEra == m_era);
    if (read && isOwn(*read) && (confirmed || read->released))
        return adoptOwnRow(now, row, *read);
    markLost();
    if (read && read->released)
        m_nextAt = Deadline();
    if (sameVersion)
        return;
    m_seenAt = now;
    m_version = row.version;
    m_row = read;
    // A row that cannot be decoded is treated as a lease of another host with the configured duration.
    if (!m_row)
        m_row = LeaseRow { HostId(), Incarnation(0), FencingToken(0), m_settings.duration, false };
}

void Lease::adoptOwnRow(MonotonicTime now, const TableRow& row, const LeaseRow& read)
{
    m_row = read;
    m_version = row.version;
    m_fencing = read.fencing;
    if (read.released) {
        m_held = false;
        m_released = m_releasing;
        return;
    }
    // Only the last write extends the lease: an older write of this host that was applied late gives
    // no more time than it did when it was sent.
    if (row.writer == m_writer)
        return extend(now);
    becomeHolder(now);
    m_nextAt = Deadline();
}

// Measures from m_sentAt, since the write may have been applied, and seen by a successor, at once.
void Lease::extend(MonotonicTime now)
{
    becomeHolder(now);
    m_validUntil = Deadline::after(m_sentAt, m_settings.duration - m_settings.clockDriftMargin);
    m_nextAt = Deadline::after(m_sentAt, m_releasing ? Nanoseconds(0) : m_settings.renewInterval);
}

void Lease::becomeHolder(MonotonicTime now)
{
    m_heldEra = m_era;
    if (m_held)
        return;
    m_held = true;
    m_ordersAllowedFrom = Deadline::after(now, m_settings.orderSettleTime);
}

void Lease::markLost()
{
    m_held = false;
    m_validUntil = Deadline();
}

std::string Lease::describe() const
{
    const auto at = [](MonotonicTime time) { return std::to_string(time.time_since_epoch().count()); };
    std::string text = "pending=" + std::to_string(static_cast<int>(m_pending))
        + " known=" + (m_rowCurrent ? "1" : "0") + " row=" + (m_row ? m_row->holder.text() : "none")
        + " version=" + std::to_string(m_version.count());
    if (m_held)
        text += " valid_until=" + at(m_validUntil.at()) + " orders_from=" + at(m_ordersAllowedFrom.at())
            + " fencing=" + std::to_string(m_fencing.count());
    else
        text += " seen_at=" + at(m_seenAt);
    // The last write affects later transitions only until its outcome is known.
    if (m_pending != Pending::None || !m_rowCurrent || !m_held)
        text += " sent_at=" + at(m_sentAt) + " writer=" + m_writer.text();
    if (m_era != StoreEra(0))
        text += " era=" + std::to_string(m_era.count()) + " held_era=" + std::to_string(m_heldEra.count())
            + " written_era=" + std::to_string(m_writtenEra.count());
    return text + (m_releasing ? " releasing" : "") + (m_released ? " released" : "");
}

} // namespace almondscale
