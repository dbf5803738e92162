#pragma once

#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"
#include "Roles/DemandReport.h"

#include <map>
#include <mutex>

namespace almondscale {

// Counts what this host was asked for, for the role policy; safe for use by many threads.
class DemandCounters {
public:
    explicit DemandCounters(MonotonicTime startedAt)
        : m_startedAt(startedAt)
    {
    }

    void add(const ModelName& model, TokenCount prompt, TokenCount answer)
    {
        const std::lock_guard lock(m_mutex);
        DemandReport& report = m_reports[model];
        ++report.requests;
        report.prefillTokens += prompt;
        report.decodeTokens += answer;
        report.contextTokens += prompt + answer;
    }

    DemandReport report(const ModelName& model, MonotonicTime now) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_reports.find(model);
        DemandReport report = found == m_reports.end() ? DemandReport {} : found->second;
        report.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startedAt);
        return report;
    }

private:
    MonotonicTime m_startedAt;
    mutable std::mutex m_mutex;
    std::map<ModelName, DemandReport> m_reports;
};

} // namespace almondscale
