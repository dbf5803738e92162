#include "Report/BurnRecorder.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondscale {

namespace {

    const BurnWindow& recentWindow = burnWindows[1];

    BurnCounts evaluate(const RequestOutcome& outcome, const ObjectiveRule& objective)
    {
        BurnCounts counts;
        counts.total = 1;
        counts.firstTokenLate = outcome.firstToken > objective.firstToken ? 1 : 0;
        counts.tokenGapLate = outcome.tokenGap > objective.tokenGap ? 1 : 0;
        counts.incomplete = outcome.completeInTime ? 0 : 1;
        counts.good = counts.firstTokenLate + counts.tokenGapLate + counts.incomplete == 0 ? 1 : 0;
        return counts;
    }

} // namespace

class BurnRecorder::Impl {
public:
    Impl(const BurnOptions& options, BurnHooks hooks)
        : m_options(options)
        , m_hooks(std::move(hooks))
    {
    }

    void onFinished(const RequestOutcome&);
    BurnSummary summary(WallTime now);

private:
    struct Model {
        std::map<Organisation, BurnSeries> tracked;
        BurnSeries otherSeries;
        bool hasOtherSeries = false;
        // Requests since the last reset, by organisation without a series of its own.
        std::map<Organisation, std::uint64_t> candidates;
        WallTime candidatesResetAt {};
    };

    BurnSeries& seriesFor(Model&, const Organisation&, WallTime now);
    bool promote(Model&, const Organisation&, WallTime now);
    void countCandidate(Model&, const Organisation&, WallTime now);

    BurnOptions m_options;
    BurnHooks m_hooks;
    std::map<ModelName, Model> m_models;
};

void BurnRecorder::Impl::countCandidate(Model& model, const Organisation& organisation, WallTime now)
{
    if (now >= model.candidatesResetAt) {
        model.candidates.clear();
        model.candidatesResetAt = now + recentWindow.length;
    }
    const auto known = model.candidates.find(organisation);
    if (known != model.candidates.end())
        ++known->second;
    else if (model.candidates.size() < m_options.candidatesPerModel)
        model.candidates[organisation] = 1;
}

// Replaces the tracked organisation with the fewest recent requests by a busier candidate. The counts
// of the replaced one move to the aggregate series, so that the sum over the model is preserved.
bool BurnRecorder::Impl::promote(Model& model, const Organisation& organisation, WallTime now)
{
    constexpr std::uint64_t requestsPerPromotionCheck = 16;
    const auto candidate = model.candidates.find(organisation);
    // The search for the minimum is linear, so it does not run on every request of a candidate.
    if (candidate == model.candidates.end() || candidate->second % requestsPerPromotionCheck != 0
        || model.tracked.empty())
        return false;
    const auto least
        = std::min_element(model.tracked.begin(), model.tracked.end(), [now](const auto& a, const auto& b) {
              return a.second.history.sum(recentWindow, now).total
                  < b.second.history.sum(recentWindow, now).total;
          });
    const auto leastRequests = static_cast<double>(least->second.history.sum(recentWindow, now).total);
    if (static_cast<double>(candidate->second) < m_options.replacementFactor * leastRequests)
        return false;
    model.otherSeries.history.merge(least->second.history);
    model.tracked.erase(least);
    model.candidates.erase(candidate);
    return true;
}

BurnSeries& BurnRecorder::Impl::seriesFor(Model& model, const Organisation& organisation, WallTime now)
{
    const auto known = model.tracked.find(organisation);
    if (known != model.tracked.end())
        return known->second;
    if (model.tracked.size() < m_options.organisationsPerModel)
        return model.tracked[organisation];
    countCandidate(model, organisation, now);
    if (promote(model, organisation, now))
        return model.tracked[organisation];
    model.hasOtherSeries = true;
    return model.otherSeries;
}

void BurnRecorder::Impl::onFinished(const RequestOutcome& outcome)
{
    const auto objective = m_hooks.objective(outcome.model, outcome.organisation);
    if (!objective)
        return;
    auto& model = m_models[outcome.model];
    auto& series = seriesFor(model, outcome.organisation, outcome.finishedAt);
    series.objective = *objective;
    series.history.add(evaluate(outcome, *objective), outcome.finishedAt);
    series.history.removeExpired(outcome.finishedAt);
}

BurnSummary BurnRecorder::Impl::summary(WallTime now)
{
    BurnSummary summary { m_options.host, m_options.incarnation, now, {} };
    for (auto& [name, model] : m_models) {
        for (auto& [organisation, series] : model.tracked) {
            series.history.removeExpired(now);
            summary.series[{ name, organisation }] = series;
        }
        if (!model.hasOtherSeries)
            continue;
        model.otherSeries.history.removeExpired(now);
        summary.series[{ name, Organisation(otherOrganisations) }] = model.otherSeries;
    }
    return summary;
}

BurnRecorder::BurnRecorder(const BurnOptions& options, BurnHooks hooks)
    : m_impl(std::make_unique<Impl>(options, std::move(hooks)))
{
}

BurnRecorder::~BurnRecorder() = default;

void BurnRecorder::onFinished(const RequestOutcome& outcome) { m_impl->onFinished(outcome); }

BurnSummary BurnRecorder::summary(WallTime now) { return m_impl->summary(now); }

} // namespace almondscale
