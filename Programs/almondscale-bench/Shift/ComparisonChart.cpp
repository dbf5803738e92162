#include "Shift/ComparisonChart.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace almondscale {

namespace {

    constexpr double bucketSeconds = static_cast<double>(resultBucket.count());

    ChartSeries rateSeries(const std::string& name, const std::vector<const ShiftOutcome*>& runs,
        std::vector<std::int64_t> PoolResult::*counts)
    {
        std::vector<double> sums;
        for (const auto* run : runs) {
            const auto& buckets = run->result.*counts;
            sums.resize(std::max(sums.size(), buckets.size()));
            for (std::size_t i = 0; i < buckets.size(); ++i)
                sums[i] += static_cast<double>(buckets[i]);
        }
        ChartSeries series { name, {} };
        for (std::size_t i = 0; i < sums.size(); ++i) {
            const double rate = sums[i] / bucketSeconds / static_cast<double>(runs.size());
            series.points.push_back({ (static_cast<double>(i) + 0.5) * bucketSeconds, rate });
        }
        return series;
    }

    ChartSeries changeSeries(const std::string& name, const std::vector<const ShiftOutcome*>& runs)
    {
        std::vector<double> times;
        for (const auto* run : runs) {
            for (const auto& change : run->result.roleChanges)
                times.push_back(std::chrono::duration<double>(change.at.time_since_epoch()).count());
        }
        std::sort(times.begin(), times.end());
        ChartSeries series { name, { { 0, 0 } } };
        double count = 0;
        for (const double time : times) {
            series.points.push_back({ time, count });
            count += 1 / static_cast<double>(runs.size());
            series.points.push_back({ time, count });
        }
        series.points.push_back({ runs.front()->seconds, count });
        return series;
    }

} // namespace

SvgChart comparisonChart(const ShiftOptions& options, const std::vector<ShiftOutcome>& outcomes)
{
    std::vector<std::pair<std::string, std::vector<const ShiftOutcome*>>> runs;
    for (const auto& outcome : outcomes) {
        if (outcome.isBound)
            continue;
        auto entry = std::find_if(
            runs.begin(), runs.end(), [&](const auto& known) { return known.first == outcome.policy; });
        if (entry == runs.end())
            entry = runs.insert(runs.end(), { outcome.policy, {} });
        entry->second.push_back(&outcome);
    }
    std::ostringstream title;
    title << "Mix " << options.mix.name << ", fleet " << options.fleet.name << ", load " << options.load
          << ", mean of " << options.seeds.size() << (options.seeds.size() == 1 ? " seed" : " seeds");
    SvgChart chart { title.str(), "time of arrival (s)", {} };
    ChartPanel goodput { "Goodput: answers complete and in time", "answers per second", {} };
    ChartPanel changes { "Role changes so far", "changes", {} };
    for (const auto& [policy, of] : runs) {
        goodput.series.push_back(rateSeries(policy, of, &PoolResult::completeInBucket));
        changes.series.push_back(changeSeries(policy, of));
    }
    if (!runs.empty())
        goodput.series.push_back(rateSeries("offered", runs.front().second, &PoolResult::offeredInBucket));
    chart.panels = { goodput, changes };
    return chart;
}

} // namespace almondscale
