#include "Shift/PolicyTotals.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace almondscale {

namespace {

    void add(std::vector<PolicyTotals>& totals, const ShiftOutcome& outcome)
    {
        auto entry = std::find_if(totals.begin(), totals.end(),
            [&](const PolicyTotals& total) { return total.policy == outcome.policy; });
        if (entry == totals.end()) {
            totals.push_back({});
            entry = totals.end() - 1;
            entry->policy = outcome.policy;
        }
        entry->offered += outcome.result.offered;
        entry->completeInTime += outcome.result.completeInTime;
        entry->roleChanges += static_cast<std::int64_t>(outcome.result.roleChanges.size());
        entry->seconds += outcome.seconds;
    }

    std::string totalsJson(const PolicyTotals& total)
    {
        std::ostringstream json;
        json << std::fixed << std::setprecision(4) << "{\"policy\":\"" << total.policy
             << "\",\"offered\":" << total.offered << ",\"complete_in_time\":" << total.completeInTime
             << ",\"of_bound\":" << total.ofBound << ",\"role_changes\":" << total.roleChanges << "}";
        return json.str();
    }

} // namespace

std::vector<PolicyTotals> policyTotals(const std::vector<ShiftOutcome>& outcomes)
{
    std::vector<PolicyTotals> totals;
    for (const auto& outcome : outcomes)
        add(totals, outcome);
    std::int64_t bound = 0;
    for (const auto& total : totals) {
        if (total.policy == "clairvoyant")
            bound = total.completeInTime;
    }
    for (auto& total : totals)
        total.ofBound
            = bound > 0 ? static_cast<double>(total.completeInTime) / static_cast<double>(bound) : 0;
    return totals;
}

std::string policyTotalsLine(const ShiftOptions& options, const PolicyTotals& total)
{
    std::ostringstream line;
    line << std::fixed << "total fleet=" << options.fleet.name << " mix=" << options.mix.name
         << " load=" << std::setprecision(2) << options.load << " faults=" << options.faultName
         << " policy=" << total.policy << " offered=" << total.offered
         << " complete_in_time=" << total.completeInTime
         << " goodput=" << (total.seconds > 0 ? static_cast<double>(total.completeInTime) / total.seconds : 0)
         << std::setprecision(4) << " of_bound=" << total.ofBound << " role_changes=" << total.roleChanges;
    return line.str();
}

std::string comparisonJson(const ShiftOptions& options, const std::vector<ShiftOutcome>& outcomes,
    const std::vector<PolicyTotals>& totals)
{
    std::ostringstream json;
    json << "{\"fleet\":\"" << options.fleet.name << "\",\"mix\":\"" << options.mix.name
         << "\",\"load\":" << options.load << ",\"faults\":\"" << options.faultName << "\",\"runs\":[";
    for (std::size_t i = 0; i < outcomes.size(); ++i)
        json << (i > 0 ? "," : "") << shiftOutcomeJson(outcomes[i]);
    json << "],\"totals\":[";
    for (std::size_t i = 0; i < totals.size(); ++i)
        json << (i > 0 ? "," : "") << totalsJson(totals[i]);
    json << "]}";
    return json.str();
}

} // namespace almondscale
