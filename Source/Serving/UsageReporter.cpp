#include "Serving/UsageReporter.h"

#include "Core/TextHash.h"
#include "Serving/UsageSchedule.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds minStoreRetryDelay = milliseconds(200);
    constexpr Nanoseconds maxStoreRetryDelay = milliseconds(1000);
    constexpr Nanoseconds minSendRetryDelay = milliseconds(200);
    constexpr Nanoseconds maxSendRetryDelay = milliseconds(1000);
    // After the store has failed for longer than the first, readers get the second to write what they kept.
    constexpr Nanoseconds longStoreFailure = milliseconds(400);
    constexpr Nanoseconds settleTime = milliseconds(1800);
    // A host that counted so many requests in a window rarely has none in the next.
    constexpr std::uint64_t steadyRequests = 8;
    // If hosts with more than this share of the requests lack a record, as after a failure of a reader or
    // with a clock that is wrong, the rows are read again until this long after the end of the window.
    constexpr double maxLackingShare = 0.02;
    // After a restore of the store, a new holder waits this long for what other hosts know.
    constexpr Nanoseconds hearTime = milliseconds(1500);
    // Other hosts that do not confirm within this time are taken to be away.
    constexpr Nanoseconds confirmTime = milliseconds(400);
    constexpr Nanoseconds lackingRetryDelay = milliseconds(1000);
    constexpr Nanoseconds lastFix = milliseconds(5800);
    // A report that the platform refuses this often is skipped, so that later ones are not held up.
    constexpr int maxRefusals = 3;
    // Records that arrived after the body of their window was fixed are found up to so many windows later.
    constexpr UsageWindow leftoverWindows { 2 };
    // Bodies that are kept in memory while the platform does not acknowledge any.
    constexpr std::size_t maxWaitingBodies = 300;

    constexpr int statusOk = 200;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;

    Nanoseconds backoff(Nanoseconds least, Nanoseconds most, int failures)
    {
        return std::min(least * (1 << std::min(failures, 8)), most);
    }

} // namespace

UsageReporter::UsageReporter(UsageBounds bounds, std::optional<UsageWindow> first, Hooks hooks)
    : m_bounds(bounds)
    , m_first(first)
    , m_hooks(std::move(hooks))
{
}

void UsageReporter::begin(MonotonicTime now, WallTime time)
{
    m_mustReadAll = true;
    m_started = false;
    m_fixFromKnown = false;
    m_hearUntil = Deadline::after(now, hearTime);
    m_heldFrom = m_bounds.windowAt(time);
    m_announced.reset();
    m_storeCallInFlight = false;
    m_write.clear();
    m_removals.clear();
    for (auto body = m_bodies.begin(); body != m_bodies.end();)
        body = body->second.wasSent ? std::next(body) : m_bodies.erase(body);
    m_progressVersion = RowVersion(0);
    m_storeRetryAt = Deadline();
    m_nextReadAt = Deadline();
    m_storeFailures = 0;
    m_sending = false;
    m_sendRetryAt = Deadline();
    m_sendFailures = 0;
    m_refusals = 0;
    m_lastStatus = 0;
    m_lastHosts.clear();
}

void UsageReporter::onStoreRestored(MonotonicTime now)
{
    m_settledAt = Deadline::after(now, settleTime);
    m_storeWasRestored = true;
    m_mustReadAll = true;
    m_write.clear();
    m_removals.clear();
}

void UsageReporter::onStoreAnswered(MonotonicTime now)
{
    if (m_failingSince && now - *m_failingSince > longStoreFailure)
        m_settledAt = Deadline::after(now, settleTime);
    m_failingSince.reset();
}

void UsageReporter::onStoreFailed(MonotonicTime now)
{
    if (!m_failingSince)
        m_failingSince = now;
}

std::optional<UsageReporter::StoreCall> UsageReporter::nextStoreCall(MonotonicTime now, WallTime time)
{
    if (m_storeCallInFlight || !m_storeRetryAt.passed(now))
        return std::nullopt;
    StoreCall call;
    if (!m_write.empty()) {
        call.write = m_write;
        m_storeCallInFlight = true;
        return call;
    }
    const auto before = m_bounds.windowAt(time - UsageSchedule::read);
    auto fixNext = m_next;
    while (m_bodies.count(fixNext) > 0 || isUnknown(fixNext))
        fixNext += UsageWindow(1);
    const bool nothingToFix = fixNext >= before || m_bodies.size() >= maxWaitingBodies;
    if (!m_mustReadAll && (nothingToFix || !m_nextReadAt.passed(now)))
        return std::nullopt;
    if (!m_mustReadAll)
        call.from = fixNext - leftoverWindows;
    call.before = before;
    m_readBefore = before;
    m_readAt = time;
    m_storeCallInFlight = true;
    return call;
}

void UsageReporter::onRead(MonotonicTime now, const std::optional<std::vector<UsageRow>>& rows, StoreEra era)
{
    m_storeCallInFlight = false;
    if (!rows) {
        delayStoreCalls(now);
        return;
    }
    onStoreAnswered(now);
    m_storeFailures = 0;
    m_era = era;
    adoptRows(now, *rows);
    if (m_mustReadAll)
        return;
    if (m_settledAt.passed(now))
        prepareWrite(now, *rows);
    else
        m_nextReadAt = m_settledAt;
}

void UsageReporter::adoptProgress(MonotonicTime now, const std::vector<UsageRow>& rows)
{
    m_progressVersion = RowVersion(0);
    const auto progress = std::find_if(
        rows.begin(), rows.end(), [](const UsageRow& row) { return row.kind == UsageRow::Kind::Progress; });
    bool complete = m_first && !m_storeWasRestored;
    if (progress != rows.end()) {
        m_progressVersion = progress->version;
        m_next = std::max(m_next, progress->id.window);
        // Programs of before do not state the era.
        complete = progress->era == StoreEra() ? !m_storeWasRestored : progress->era == m_era;
    } else if (complete && !lastSent()) {
        auto first = *m_first;
        for (const auto& row : rows)
            first = std::min(first, row.id.window);
        m_next = std::max(m_next, first);
    } else {
        complete = false;
    }
    if (!m_fixFromKnown)
        m_fixFromKnown = complete || learnFixFrom(now);
    m_lateNext = std::max(m_lateNext, m_next);
}

std::optional<SentReport> UsageReporter::lastSent() const
{
    return m_hooks.lastSent ? m_hooks.lastSent() : std::nullopt;
}

bool UsageReporter::learnFixFrom(MonotonicTime now)
{
    const bool hears = !m_hooks.hearsHosts || m_hooks.hearsHosts();
    const auto sent = lastSent();
    if (hears && sent) {
        // Reports are sent in order, so that those before the last one are done.
        m_next = std::max(m_next, sent->window);
        m_fixFrom = sent->window + UsageWindow(1);
        m_sentBefore = sent;
        return true;
    }
    if (!m_hearUntil.passed(now))
        return false;
    m_fixFrom = m_heldFrom;
    if (m_next == UsageWindow())
        m_next = m_heldFrom;
    return true;
}

bool UsageReporter::isUnknown(UsageWindow window) const
{
    if (window >= m_fixFrom)
        return false;
    const auto body = m_bodies.find(window);
    return body == m_bodies.end()
        || !(m_sentBefore == SentReport { window, addToTextHash(emptyTextHash, body->second.text) });
}

void UsageReporter::leaveOutUnknown()
{
    const auto first = m_next;
    while (isUnknown(m_next))
        m_next += UsageWindow(1);
    if (first < m_next && m_hooks.onLeftOut)
        m_hooks.onLeftOut(first, m_next);
    m_lateNext = std::max(m_lateNext, m_next);
}

// Takes over what earlier holders, or this one, have stored.
void UsageReporter::adoptRows(MonotonicTime now, const std::vector<UsageRow>& rows)
{
    const bool all = std::exchange(m_mustReadAll, false);
    if (all) {
        adoptProgress(now, rows);
        if (!m_fixFromKnown) {
            m_mustReadAll = true;
            m_storeRetryAt = Deadline::after(now, minStoreRetryDelay);
            return;
        }
        for (auto& entry : m_bodies)
            entry.second.version.reset();
    }
    for (const auto& row : rows) {
        if (row.kind != UsageRow::Kind::Body)
            continue;
        auto& body = m_bodies[row.id.window];
        body.version = row.version;
        // A body that this host may have sent stays as it is.
        if (std::exchange(body.wasStored, true))
            continue;
        if (body.text != row.body)
            body = { row.body, row.version, true, false, std::nullopt };
        else if (body.summary && m_hooks.onFixed)
            m_hooks.onFixed(row.id.window, *body.summary);
    }
    for (auto body = m_bodies.begin(); body != m_bodies.end();) {
        const bool stays = body->second.version || (body->second.wasStored && !isDone(body->first));
        body = stays ? std::next(body) : m_bodies.erase(body);
    }
    leaveOutUnknown();
    m_started = true;
}

// Fixes the bodies of the windows that were read, and removes the rows that are no longer needed.
void UsageReporter::prepareWrite(MonotonicTime now, const std::vector<UsageRow>& rows)
{
    writeBodies(now, rows);
    if (m_write.empty())
        return;
    UsageRow progress { UsageRow::Kind::Progress, { {}, {}, m_next }, {}, {}, m_progressVersion, false, {} };
    progress.era = m_era;
    m_write.push_back(std::move(progress));
    m_removals.clear();
    for (const auto& [window, body] : m_bodies) {
        if (isDone(window) && body.version)
            m_removals.push_back({ UsageRow::Kind::Body, { {}, {}, window }, {}, {}, *body.version, true });
    }
    for (const auto& row : rows) {
        if (row.kind != UsageRow::Kind::Record
            || (!isDone(row.id.window) && m_bodies.count(row.id.window) == 0))
            continue;
        m_removals.push_back({ row.kind, row.id, {}, {}, row.version, true });
    }
    takeRemovals();
}

std::map<UsageWindow, UsageReporter::Sum> UsageReporter::sumUp(const std::vector<UsageRow>& rows)
{
    std::map<UsageWindow, Sum> sums;
    for (const auto& row : rows) {
        if (row.kind != UsageRow::Kind::Record)
            continue;
        auto& sum = sums[row.id.window];
        auto& ofHost = sum.hosts[row.id.host];
        for (const auto& [organisation, requests] : row.counts) {
            sum.counts[organisation] += requests;
            sum.requests += requests;
            ofHost += requests;
        }
    }
    return sums;
}

bool UsageReporter::lacksHosts(const Sum& sum) const
{
    std::uint64_t all = 0;
    std::uint64_t lacking = 0;
    for (const auto& [host, requests] : m_lastHosts) {
        all += requests;
        if (requests >= steadyRequests && sum.hosts.count(host) == 0)
            lacking += requests;
    }
    return static_cast<double>(lacking) > maxLackingShare * static_cast<double>(all);
}

void UsageReporter::writeBodies(MonotonicTime now, const std::vector<UsageRow>& rows)
{
    auto sums = sumUp(rows);
    // Hosts whose records came too late for their window must be waited for in this one.
    for (const auto& [window, sum] : sums) {
        if (isDone(window) || m_bodies.count(window) > 0)
            m_lastHosts.insert(sum.hosts.begin(), sum.hosts.end());
    }
    std::size_t bytes = 0;
    // One row is left for progress.
    for (auto window = m_next;
         window < m_readBefore && m_write.size() + 1 < maxUsageRowsPerWrite && bytes < maxUsageBytesPerWrite;
         window += UsageWindow(1)) {
        auto known = m_bodies.find(window);
        if (isUnknown(window) || (known != m_bodies.end() && known->second.version))
            continue;
        if (known == m_bodies.end()) {
            const auto& sum = sums[window];
            if (lacksHosts(sum) && m_readAt < m_bounds.endOf(window) + lastFix) {
                m_nextReadAt = Deadline::after(now, lackingRetryDelay);
                return;
            }
            m_lastHosts = sum.hosts;
            known = m_bodies.emplace(window, Body {}).first;
            known->second.text = m_hooks.encodeBody(window, sum.counts);
            known->second.summary = Summary { sum.requests, sum.counts.size(), sum.hosts.size() };
        }
        const auto& body = known->second;
        bytes += body.text.size();
        auto& row = m_write.emplace_back();
        row.kind = UsageRow::Kind::Body;
        row.id.window = window;
        row.body = body.text;
    }
}

void UsageReporter::takeRemovals()
{
    for (auto entries = 2 * m_write.size(); !m_removals.empty() && entries < maxUsageEntriesPerWrite;
         ++entries) {
        m_write.push_back(std::move(m_removals.back()));
        m_removals.pop_back();
    }
}

void UsageReporter::onWritten(MonotonicTime now, const UsageRowsWritten& written)
{
    m_storeCallInFlight = false;
    if (written.outcome == WriteOutcome::NotApplied) {
        delayStoreCalls(now);
        return;
    }
    const auto rows = std::exchange(m_write, {});
    if (written.outcome != WriteOutcome::Applied) {
        // Another holder or a reader has changed a row, or the result is unknown: the rows tell.
        m_mustReadAll = true;
        m_storeRetryAt = Deadline::after(now, minStoreRetryDelay);
        return;
    }
    onStoreAnswered(now);
    m_storeFailures = 0;
    for (const auto& row : rows) {
        if (row.kind == UsageRow::Kind::Progress)
            m_progressVersion = written.version;
        if (row.kind != UsageRow::Kind::Body)
            continue;
        if (row.removed) {
            m_bodies.erase(row.id.window);
            continue;
        }
        auto& body = m_bodies[row.id.window];
        body.version = written.version;
        body.wasStored = true;
        if (m_hooks.onFixed)
            m_hooks.onFixed(row.id.window, body.summary.value_or(Summary()));
    }
    takeRemovals();
}

void UsageReporter::delayStoreCalls(MonotonicTime now)
{
    onStoreFailed(now);
    m_storeRetryAt = Deadline::after(now, backoff(minStoreRetryDelay, maxStoreRetryDelay, m_storeFailures));
    ++m_storeFailures;
}

std::optional<UsageReporter::Report> UsageReporter::nextReport(MonotonicTime now)
{
    if (!m_started || m_sending || !m_sendRetryAt.passed(now))
        return std::nullopt;
    const auto body = m_bodies.find(m_next);
    if (body == m_bodies.end() || !body->second.version)
        return std::nullopt;
    if (m_announced != m_next) {
        m_announced = m_next;
        m_confirmUntil = Deadline::after(now, confirmTime);
        if (m_hooks.onSending)
            m_hooks.onSending({ m_next, addToTextHash(emptyTextHash, body->second.text) });
    }
    // A successor must not report the window again if the store loses its rows.
    if (m_hooks.othersKnow && !m_hooks.othersKnow(m_next) && !m_confirmUntil.passed(now))
        return std::nullopt;
    m_sending = true;
    body->second.wasSent = true;
    return Report { m_next, body->second.text };
}

void UsageReporter::onAnswer(MonotonicTime now, WallTime time, UsageWindow window, int status)
{
    m_sending = false;
    // An earlier report of this host, from before another host was the holder.
    if (window != m_next)
        return;
    m_lastStatus = status;
    const bool accepted = status == statusOk;
    const bool refused
        = !accepted && status != 0 && status != statusTooManyRequests && status < firstServerError;
    if (refused)
        ++m_refusals;
    if (!accepted && m_refusals < maxRefusals) {
        m_sendRetryAt = Deadline::after(now, backoff(minSendRetryDelay, maxSendRetryDelay, m_sendFailures));
        ++m_sendFailures;
        return;
    }
    const auto body = m_bodies.find(m_next);
    const auto summary = body == m_bodies.end() ? std::nullopt : body->second.summary;
    if (m_hooks.onDone)
        m_hooks.onDone(m_next, summary, status, time > m_bounds.endOf(m_next) + m_bounds.due);
    m_next += UsageWindow(1);
    leaveOutUnknown();
    m_sendRetryAt = Deadline();
    m_sendFailures = 0;
    m_refusals = 0;
}

void UsageReporter::checkLate(WallTime time)
{
    if (!m_started)
        return;
    for (m_lateNext = std::max(m_lateNext, m_next); time > m_bounds.endOf(m_lateNext) + m_bounds.due;
         m_lateNext += UsageWindow(1)) {
        const auto body = m_bodies.find(m_lateNext);
        const bool fixed = body != m_bodies.end() && body->second.version;
        if (m_hooks.onLate)
            m_hooks.onLate(m_lateNext, fixed ? LateReason::Platform : LateReason::Store, m_lastStatus);
    }
}

std::int64_t UsageReporter::backlog(WallTime time) const
{
    return m_started ? std::max<std::int64_t>(0, (m_bounds.windowAt(time) - m_next).count()) : 0;
}

} // namespace almondscale
