#include "Serving/EngineSpeeds.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    constexpr std::size_t coefficientCount = LearnedSpeed::coefficientCount;

    // Standard error of the default of each coefficient of EngineSpeedModel.
    constexpr std::array<double, coefficientCount> initialError { 30, 0.015, 0.3, 0.4 };
    // Standard deviation of a coefficient's drift between samples, as a share of its initial error.
    constexpr double driftPerSample = 0.01;
    constexpr std::array<double, coefficientCount> minimum { 0, 0.0005, 0, 0.05 };
    constexpr std::array<double, coefficientCount> maximum { 1000, 10, 20, 1.5 };
    // Error of one sample: a constant and a share of the predicted time.
    constexpr double sampleErrorMs = 10;
    constexpr double sampleErrorShare = 0.25;
    // Share of the work queued ahead that may be finished already or may be unknown.
    constexpr double queueErrorShare = 0.5;
    // Prefills that take longer than predicted have often waited for something unknown, so their error is
    // scaled by this factor.
    constexpr double slowSampleFactor = 1.5;
    // Residuals are clamped to this many standard errors.
    constexpr double maxErrors = 2;
    // Limits the weight of this host, so that hosts with many samples do not outweigh all others permanently.
    constexpr double maxSamples = 200;
    // The number of samples at which a host's estimate has half of the weight of its samples.
    constexpr double halfWeightSamples = 10;

    std::array<double, coefficientCount> toCoefficients(const EngineSpeedModel& model)
    {
        return { model.requestMs, model.msPerToken, model.msPerMillionPairs, model.waitFactor };
    }

} // namespace

EngineSpeeds::Regression::Regression()
    : coefficients(toCoefficients(EngineSpeedModel()))
{
    for (std::size_t i = 0; i < coefficients.size(); ++i)
        covariance.at(i).at(i) = initialError.at(i) * initialError.at(i);
}

void EngineSpeeds::notePrefill(const ServiceName& service, const PrefillSample& sample)
{
    auto& own = m_local[service];
    const Vector input { 1, static_cast<double>((sample.prompt - sample.cached).count()),
        EngineSpeedModel::millionPairs(sample.prompt, sample.cached), sample.queuedMs };

    Vector gain {};
    double predicted = 0;
    for (std::size_t i = 0; i < coefficientCount; ++i) {
        auto& row = own.covariance.at(i);
        const double step = driftPerSample * initialError.at(i);
        row.at(i) = std::min(row.at(i) + step * step, initialError.at(i) * initialError.at(i));
        for (std::size_t j = 0; j < coefficientCount; ++j)
            gain.at(i) += row.at(j) * input.at(j);
        predicted += own.coefficients.at(i) * input.at(i);
    }
    const double error = (sampleErrorMs + sampleErrorShare * predicted + queueErrorShare * sample.queuedMs)
        * (sample.takenMs > predicted ? slowSampleFactor : 1);
    double variance = error * error;
    for (std::size_t i = 0; i < coefficientCount; ++i)
        variance += input.at(i) * gain.at(i);
    const double bound = maxErrors * std::sqrt(variance);
    const double residual = std::clamp(sample.takenMs - predicted, -bound, bound);
    for (std::size_t i = 0; i < coefficientCount; ++i) {
        own.coefficients.at(i) = std::clamp(
            own.coefficients.at(i) + gain.at(i) / variance * residual, minimum.at(i), maximum.at(i));
        for (std::size_t j = 0; j < coefficientCount; ++j)
            own.covariance.at(i).at(j) -= gain.at(i) * gain.at(j) / variance;
    }
    own.samples = std::min(own.samples + 1, maxSamples);
}

EngineSpeedModel EngineSpeeds::speedOf(const ServiceName& service) const
{
    auto all = localEstimate(service);
    const auto others = m_remote.find(service);
    if (others != m_remote.end())
        all += others->second;
    return all.weight > 0 ? all.mean() : EngineSpeedModel();
}

LearnedSpeed EngineSpeeds::localEstimate(const ServiceName& service) const
{
    const auto own = m_local.find(service);
    if (own == m_local.end())
        return {};
    LearnedSpeed speed { 1, own->second.coefficients };
    const double samples = own->second.samples;
    return speed *= samples * samples / (samples + halfWeightSamples);
}

void EngineSpeeds::setRemoteEstimate(const ServiceName& service, const LearnedSpeed& speed)
{
    // Subtracting a closed link's contribution can leave a rounding error instead of zero.
    m_remote[service] = speed.weight >= 1 ? speed : LearnedSpeed();
}

} // namespace almondscale
