#include "Roles/DemandEstimate.h"

#include <algorithm>

namespace almondscale {

namespace {

    struct Sums {
        double requests = 0;
        double prefill = 0;
        double decode = 0;
        double context = 0;
    };

    double seconds(std::chrono::milliseconds time) { return std::chrono::duration<double>(time).count(); }

    void addRates(Sums& sums, const DemandReport& first, const DemandReport& last)
    {
        const double span = seconds(last.uptime - first.uptime);
        sums.requests += static_cast<double>(last.requests - first.requests) / span;
        sums.prefill += static_cast<double>((last.prefillTokens - first.prefillTokens).count()) / span;
        sums.decode += static_cast<double>((last.decodeTokens - first.decodeTokens).count()) / span;
        sums.context += static_cast<double>((last.contextTokens - first.contextTokens).count()) / span;
    }

    Demand demandOf(const Sums& sums)
    {
        if (sums.requests <= 0)
            return {};
        return { sums.requests, sums.prefill / sums.requests, sums.decode / sums.requests,
            sums.context / sums.requests };
    }

} // namespace

DemandEstimate::DemandEstimate(const Settings& settings)
    : m_settings(settings)
{
}

void DemandEstimate::onReport(const HostId& host, const DemandReport& report, MonotonicTime now)
{
    auto& received = m_reports[host];
    if (!received.empty()) {
        const auto& last = received.back().report;
        if (report.uptime == last.uptime)
            return;
        // The counters of a restarted or replaced host start from zero.
        if (report.uptime < last.uptime || report.requests < last.requests)
            received.clear();
    }
    received.push_back({ now, report });
}

void DemandEstimate::removeExpired(MonotonicTime now)
{
    for (auto entry = m_reports.begin(); entry != m_reports.end();) {
        auto& received = entry->second;
        if (received.empty() || now - received.back().at > m_settings.hostExpiry) {
            entry = m_reports.erase(entry);
            continue;
        }
        const auto uptime = received.back().report.uptime;
        while (received.size() > 2 && uptime - received[1].report.uptime >= m_settings.averagingWindow)
            received.pop_front();
        ++entry;
    }
}

void DemandEstimate::advance(MonotonicTime now)
{
    removeExpired(now);
    if (now < m_nextSample)
        return;
    const auto demand = current(now);
    if (!demand)
        return;
    m_samples.push_back(*demand);
    ++m_totalSamples;
    const auto maxSamples = static_cast<std::size_t>(m_settings.historyWindow / m_settings.averagingWindow);
    while (m_samples.size() > maxSamples)
        m_samples.pop_front();
    m_nextSample = now + m_settings.averagingWindow;
}

std::optional<Demand> DemandEstimate::current(MonotonicTime now) const
{
    if (m_reports.empty())
        return std::nullopt;
    Sums sums;
    for (const auto& [host, received] : m_reports) {
        // The demand of a host that does not report is unknown, not zero.
        if (now - received.back().at > m_settings.maxReportAge)
            return std::nullopt;
        const auto& first = received.front().report;
        const auto& last = received.back().report;
        if (last.uptime - first.uptime < m_settings.averagingWindow / 2)
            return std::nullopt;
        addRates(sums, first, last);
    }
    return demandOf(sums);
}

} // namespace almondscale
