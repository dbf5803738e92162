#include "Shift/ShiftOutcome.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace almondscale {

namespace {

    double percentile95(std::vector<float> values)
    {
        if (values.empty())
            return 0;
        const auto index = static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * 0.95);
        std::nth_element(values.begin(), values.begin() + index, values.end());
        return values[static_cast<std::size_t>(index)];
    }

    std::string rounded(double value, int digits)
    {
        char text[64];
        std::snprintf(text, sizeof text, "%.*f", digits, value);
        return text;
    }

} // namespace

double ShiftOutcome::goodput() const
{
    return seconds > 0 ? static_cast<double>(result.completeInTime) / seconds : 0;
}

double ShiftOutcome::firstTokenP95Ms() const { return percentile95(result.firstTokens); }

double ShiftOutcome::tokenGapP95Ms() const { return percentile95(result.tokenGaps); }

std::string shiftOutcomeLine(const ShiftOutcome& outcome)
{
    const auto& result = outcome.result;
    std::ostringstream line;
    line << "policy=" << outcome.policy << " seed=" << outcome.seed << " offered=" << result.offered
         << " complete_in_time=" << result.completeInTime << " goodput=" << rounded(outcome.goodput(), 2)
         << " refused=" << result.refused << " late=" << result.late
         << " role_changes=" << result.roleChanges.size()
         << " first_token_p95_ms=" << (outcome.isBound ? "-" : rounded(outcome.firstTokenP95Ms(), 1))
         << " token_gap_p95_ms=" << (outcome.isBound ? "-" : rounded(outcome.tokenGapP95Ms(), 1));
    return line.str();
}

std::string shiftOutcomeJson(const ShiftOutcome& outcome)
{
    const auto& result = outcome.result;
    std::ostringstream json;
    json << "{\"policy\":\"" << outcome.policy << "\",\"seed\":" << outcome.seed
         << ",\"offered\":" << result.offered << ",\"complete_in_time\":" << result.completeInTime
         << ",\"goodput\":" << rounded(outcome.goodput(), 4) << ",\"refused\":" << result.refused
         << ",\"late\":" << result.late << ",\"role_changes\":" << result.roleChanges.size()
         << ",\"first_token_p95_ms\":" << (outcome.isBound ? "null" : rounded(outcome.firstTokenP95Ms(), 3))
         << ",\"token_gap_p95_ms\":" << (outcome.isBound ? "null" : rounded(outcome.tokenGapP95Ms(), 3))
         << "}";
    return json.str();
}

} // namespace almondscale
