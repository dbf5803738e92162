#include "Serving/EngineSpeeds.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    constexpr std::size_t figures = LearnedSpeed::figures;

    // How far the guess may be off, for each figure of EngineSpeedModel.
    constexpr std::array<double, figures> guessError { 30, 0.015, 0.3, 0.4 };
    // What the figures may change from one sample to the next, as a part of that.
    constexpr double drift = 0.01;
    constexpr std::array<double, figures> least { 0, 0.0005, 0, 0.05 };
    constexpr std::array<double, figures> most { 1000, 10, 20, 1.5 };
    // Error of one sample: a part in milliseconds, and a part of the time.
    constexpr double sampleErrorMs = 10;
    constexpr double sampleErrorShare = 0.25;
    // Part of the work in front that may have been done, or may not be known.
    constexpr double aheadErrorShare = 0.5;
    // A prefill that takes longer than expected has often waited for something that is not
    // known; its error is taken to be so many times as large.
    constexpr double slowerErrors = 1.5;
    // A sample further off than this many errors counts as one that far off.
    constexpr double mostErrors = 2;
    // What this host learned counts as no more samples than these, so that hosts that see
    // many do not outweigh all others for ever.
    constexpr double mostSamples = 200;
    // With so many samples a host's own figures weigh half of their number.
    constexpr double halfTrusted = 10;

    std::array<double, figures> toFigures(const EngineSpeedModel& model)
    {
        return { model.requestMs, model.msPerToken, model.msPerMillionPairs, model.waitFactor };
    }

} // namespace

EngineSpeeds::Regression::Regression()
    : figures(toFigures(EngineSpeedModel()))
{
    for (std::size_t i = 0; i < figures.size(); ++i)
        covariance.at(i).at(i) = guessError.at(i) * guessError.at(i);
}

void EngineSpeeds::notePrefill(const ServiceName& service, const PrefillSample& sample)
{
    auto& own = m_own[service];
    const Vector input { 1, static_cast<double>((sample.prompt - sample.cached).count()),
        EngineSpeedModel::millionPairs(sample.prompt, sample.cached), sample.aheadMs };

    Vector gain {};
    double predicted = 0;
    for (std::size_t i = 0; i < figures; ++i) {
        auto& row = own.covariance.at(i);
        const double step = drift * guessError.at(i);
        row.at(i) = std::min(row.at(i) + step * step, guessError.at(i) * guessError.at(i));
        for (std::size_t j = 0; j < figures; ++j)
            gain.at(i) += row.at(j) * input.at(j);
        predicted += own.figures.at(i) * input.at(i);
    }
    const double error = (sampleErrorMs + sampleErrorShare * predicted + aheadErrorShare * sample.aheadMs)
        * (sample.takenMs > predicted ? slowerErrors : 1);
    double variance = error * error;
    for (std::size_t i = 0; i < figures; ++i)
        variance += input.at(i) * gain.at(i);
    const double bound = mostErrors * std::sqrt(variance);
    const double residual = std::clamp(sample.takenMs - predicted, -bound, bound);
    for (std::size_t i = 0; i < figures; ++i) {
        own.figures.at(i)
            = std::clamp(own.figures.at(i) + gain.at(i) / variance * residual, least.at(i), most.at(i));
        for (std::size_t j = 0; j < figures; ++j)
            own.covariance.at(i).at(j) -= gain.at(i) * gain.at(j) / variance;
    }
    own.samples = std::min(own.samples + 1, mostSamples);
}

EngineSpeedModel EngineSpeeds::of(const ServiceName& service) const
{
    auto all = told(service);
    const auto others = m_others.find(service);
    if (others != m_others.end())
        all += others->second;
    return all.weight > 0 ? all.mean() : EngineSpeedModel();
}

LearnedSpeed EngineSpeeds::told(const ServiceName& service) const
{
    const auto own = m_own.find(service);
    if (own == m_own.end())
        return {};
    LearnedSpeed speed { 1, own->second.figures };
    const double samples = own->second.samples;
    return speed *= samples * samples / (samples + halfTrusted);
}

void EngineSpeeds::setOthers(const ServiceName& service, const LearnedSpeed& speed)
{
    // Sums from which a link's part was taken back may miss zero by a rounding.
    m_others[service] = speed.weight >= 1 ? speed : LearnedSpeed();
}

} // namespace almondscale
