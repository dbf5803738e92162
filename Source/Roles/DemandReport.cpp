#include "Roles/DemandReport.h"

#include <sstream>

namespace almondscale {

std::string writeDemandReport(const DemandReport& report)
{
    std::ostringstream text;
    text << report.uptime.count() << ' ' << report.requests << ' ' << report.prefillTokens << ' '
         << report.decodeTokens << ' ' << report.contextTokens;
    return text.str();
}

std::optional<DemandReport> readDemandReport(const std::string& text)
{
    std::istringstream in(text);
    std::int64_t uptime = 0;
    std::int64_t requests = 0;
    std::int64_t prefill = 0;
    std::int64_t decode = 0;
    std::int64_t context = 0;
    if (!(in >> uptime >> requests >> prefill >> decode >> context))
        return std::nullopt;
    in >> std::ws;
    if (!in.eof() || uptime < 0 || requests < 0 || prefill < 0 || decode < 0 || context < 0)
        return std::nullopt;
    DemandReport report;
    report.uptime = std::chrono::milliseconds(uptime);
    report.requests = static_cast<std::uint64_t>(requests);
    report.prefillTokens = TokenCount(prefill);
    report.decodeTokens = TokenCount(decode);
    report.contextTokens = TokenCount(context);
    return report;
}

} // namespace almondscale
