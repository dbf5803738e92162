#include "Serving/DecodePace.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // Milliseconds that each running request adds to the time per event until streams have been measured.
    constexpr double defaultMsPerStream = 0.12;
    // Standard errors of the first sample and of the default slope.
    constexpr double initialErrorMs = 20;
    constexpr double initialSlopeError = 0.1;
    constexpr double maxMsPerStream = 5;
    constexpr double minEventMs = 0.1;
    // Error of one sample, as a share of the predicted time, and of a coefficient between samples, as a share
    // of its initial error.
    constexpr double sampleErrorShare = 0.25;
    constexpr double driftPerSample = 0.01;
    // Residuals are clamped to this many standard errors.
    constexpr double maxErrors = 2;

} // namespace

void DecodePace::noteStream(const ServiceName& service, double running, double eventMs)
{
    const std::array<double, 2> initialError { initialErrorMs, initialSlopeError };
    const auto [known, isNew] = m_regressions.try_emplace(service);
    auto& own = known->second;
    if (isNew) {
        own.coefficients
            = { std::max(minEventMs, eventMs - defaultMsPerStream * running), defaultMsPerStream };
        for (std::size_t i = 0; i < initialError.size(); ++i)
            own.covariance.at(i).at(i) = initialError.at(i) * initialError.at(i);
        return;
    }
    const std::array<double, 2> input { 1, running };
    std::array<double, 2> gain {};
    double predicted = 0;
    for (std::size_t i = 0; i < input.size(); ++i) {
        auto& row = own.covariance.at(i);
        const double step = driftPerSample * initialError.at(i);
        row.at(i) = std::min(row.at(i) + step * step, initialError.at(i) * initialError.at(i));
        for (std::size_t j = 0; j < input.size(); ++j)
            gain.at(i) += row.at(j) * input.at(j);
        predicted += own.coefficients.at(i) * input.at(i);
    }
    const double error = sampleErrorShare * std::max(minEventMs, predicted);
    double variance = error * error;
    for (std::size_t i = 0; i < input.size(); ++i)
        variance += input.at(i) * gain.at(i);
    const double bound = maxErrors * std::sqrt(variance);
    const double residual = std::clamp(eventMs - predicted, -bound, bound);
    for (std::size_t i = 0; i < input.size(); ++i) {
        own.coefficients.at(i) += gain.at(i) / variance * residual;
        for (std::size_t j = 0; j < input.size(); ++j)
            own.covariance.at(i).at(j) -= gain.at(i) * gain.at(j) / variance;
    }
    own.coefficients[0] = std::max(minEventMs, own.coefficients[0]);
    own.coefficients[1] = std::clamp(own.coefficients[1], 0.0, maxMsPerStream);
}

double DecodePace::eventMs(const ServiceName& service, double running) const
{
    const auto known = m_regressions.find(service);
    return known == m_regressions.end()
        ? 0
        : known->second.coefficients[0] + known->second.coefficients[1] * running;
}

double DecodePace::msPerStream(const ServiceName& service) const
{
    const auto known = m_regressions.find(service);
    return known == m_regressions.end() ? defaultMsPerStream : known->second.coefficients[1];
}

} // namespace almondscale
