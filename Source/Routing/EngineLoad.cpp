#include "Routing/EngineLoad.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // The weight of a new observation in the exponential average of a speed.
    constexpr double smoothingFactor = 0.1;

    // The maximum time for a request to reach the engine.
    constexpr Nanoseconds maxTransitTime = std::chrono::milliseconds(5);

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

EngineLoad::EngineLoad(EngineSpeed configured)
    : m_speed(configured)
{
}

bool EngineLoad::onReport(const LoadReport& report)
{
    const bool restarted = m_report && m_report->boot != report.boot;
    if (m_report && !restarted && report.sequence < m_report->sequence)
        return false;
    m_report = report;
    while (!m_finished.empty() && m_finished.front().at <= report.sampledAt)
        m_finished.pop_front();
    if (restarted)
        m_finished.clear();
    rebuildUnreported();
    return restarted;
}

void EngineLoad::onSent(const AttemptId& attempt, TokenCount prefill, TokenCount decode, MonotonicTime now)
{
    SentAttempt sent;
    sent.at = now;
    sent.prefill = static_cast<double>(prefill.count());
    sent.decode = static_cast<double>(decode.count());
    sent.blocks = blocksFor(prefill + decode);
    sent.engineWasIdle = estimate(now, {}, true).prefillTokens <= 0;
    const bool isNew = m_sent.insert_or_assign(attempt, sent).second;
    if (isNew && !isReported(now) && (m_unreported.empty() || m_unreported.back()->at <= now))
        m_unreported.push_back(&m_sent.at(attempt));
    else
        rebuildUnreported();
}

void EngineLoad::onFirstToken(const AttemptId& attempt, MonotonicTime now)
{
    const auto found = m_sent.find(attempt);
    if (found == m_sent.end() || found->second.firstTokenAt)
        return;
    auto& sent = found->second;
    sent.firstTokenAt = now;
    // Measured only on an engine that was idle; otherwise the time includes queueing.
    if (sent.engineWasIdle)
        updateAverage(m_speed.prefillTokensPerSecond, sent.prefill, now - sent.at);
}

void EngineLoad::onFinished(const AttemptId& attempt, MonotonicTime now)
{
    const auto found = m_sent.find(attempt);
    if (found == m_sent.end())
        return;
    const auto& sent = found->second;
    m_finished.push_back({ sent.at, now, sent.blocks });
    m_unreported.erase(std::remove(m_unreported.begin(), m_unreported.end(), &sent), m_unreported.end());
    m_sent.erase(found);
}

void EngineLoad::removeBefore(MonotonicTime oldest)
{
    const auto before = m_sent.size();
    for (auto sent = m_sent.begin(); sent != m_sent.end();)
        sent = sent->second.at < oldest ? m_sent.erase(sent) : std::next(sent);
    while (!m_finished.empty() && m_finished.front().at < oldest)
        m_finished.pop_front();
    if (m_sent.size() != before)
        rebuildUnreported();
}

void EngineLoad::rebuildUnreported()
{
    m_unreported.clear();
    for (const auto& [attempt, sent] : m_sent) {
        if (!isReported(sent.at))
            m_unreported.push_back(&sent);
    }
    std::sort(m_unreported.begin(), m_unreported.end(),
        [](const SentAttempt* a, const SentAttempt* b) { return a->at < b->at; });
}

EngineEstimate EngineLoad::estimate(
    MonotonicTime now, const ArrivalRates& peers, bool extrapolateReports) const
{
    const LoadReport report = m_report.value_or(LoadReport {});
    const double age = m_report ? std::max(0.0, seconds(now - report.sampledAt)) : 0;
    EngineEstimate estimate;
    estimate.reportedRequests = report.running + report.queued;
    estimate.requests = estimate.reportedRequests;
    estimate.blocksKnown = m_report && report.totalBlocks.count() > 0;
    estimate.freeBlocks = static_cast<double>(report.freeBlocks.count());
    estimate.totalBlocks = static_cast<double>(report.totalBlocks.count());
    estimate.prefillTokens = static_cast<double>(report.prefillTokens.count());
    estimate.decodeTokens = static_cast<double>(report.decodeTokens.count());
    if (!extrapolateReports)
        return estimate;

    for (const SentAttempt* sent : m_unreported) {
        estimate.requests += 1;
        estimate.freeBlocks -= sent->blocks;
    }
    for (const auto& finished : m_finished) {
        // Attempts sent after the report was sampled are not included in it.
        if (!isReported(finished.sentAt))
            continue;
        estimate.requests -= 1;
        estimate.freeBlocks += finished.blocks;
    }
    estimate.requests = std::max(0.0, estimate.requests + peers.requestsPerSecond * age);
    const double busy = std::clamp(estimate.requests, 1.0, static_cast<double>(m_speed.slots));
    const double decodePerSecond = m_speed.decodeTokensPerSecond * busy;
    estimate.prefillTokens = backlog(estimate.prefillTokens, &SentAttempt::prefill,
        m_speed.prefillTokensPerSecond - peers.prefillTokensPerSecond, now);
    estimate.decodeTokens = backlog(
        estimate.decodeTokens, &SentAttempt::decode, decodePerSecond - peers.decodeTokensPerSecond, now);
    return estimate;
}

// Whether the last report includes a request sent at this time.
bool EngineLoad::isReported(MonotonicTime sentAt) const
{
    return m_report && sentAt + maxTransitTime <= m_report->sampledAt;
}

double EngineLoad::blocksFor(TokenCount tokens) const
{
    const double perBlock = std::max<double>(1, static_cast<double>(m_speed.tokensPerBlock.count()));
    return std::ceil(static_cast<double>(tokens.count()) / perBlock);
}

// Drains the reported work at the engine's rate and adds each attempt at its time of sending, so
// that a recent attempt does not count as done because the report is old.
double EngineLoad::backlog(
    double reported, double SentAttempt::*part, double perSecond, MonotonicTime now) const
{
    double work = reported;
    MonotonicTime at = m_report ? m_report->sampledAt : now;
    if (!m_report && !m_unreported.empty())
        at = m_unreported.front()->at;
    for (const SentAttempt* sent : m_unreported) {
        const double elapsed = std::max(0.0, seconds(sent->at - at));
        work = std::max(0.0, work - perSecond * elapsed) + sent->*part;
        at = std::max(at, sent->at);
    }
    if (now > at)
        work = std::max(0.0, work - perSecond * seconds(now - at));
    return work;
}

void EngineLoad::updateAverage(double& average, double tokens, Nanoseconds time)
{
    if (tokens <= 0 || time.count() <= 0)
        return;
    average += smoothingFactor * (tokens / seconds(time) - average);
}

} // namespace almondscale
