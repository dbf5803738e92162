#include "Serving/ServerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondscale {

namespace {

    // Long enough for some dozens of samples of each server from all hosts together, and short enough that a
    // server that got no work because it was slow is tried again within a minute.
    constexpr double steadySeconds = 10;
    constexpr double recentSeconds = 0.5;
    // A single sample counts as at most this logarithm, a factor of about 4: longer times are due to
    // something else than the speed of the server.
    constexpr double maxSample = 1.4;
    constexpr double slowSampleWeight = 0.3;
    // Sums with less weight are forgotten.
    constexpr double minWeight = 0.02;
    // Servers with less weight do not count for the median and the spread.
    constexpr double minMeasuredWeight = 6;
    constexpr std::size_t minServersForSpread = 4;
    // Standard deviation of a sample: half of the samples are within a factor of 1.4 of the mean.
    constexpr double sampleError = 0.5;
    // An estimate of a plain service's expected time can be wrong by any factor, which all its servers have
    // in common. Samples are bounded around this wide range.
    constexpr double maxCommonError = 4;

    double logRatio(double takenMs, double expectedMs)
    {
        return std::clamp(std::log(std::max(0.01, takenMs) / expectedMs), -maxCommonError, maxCommonError);
    }

    double meanOf(double sum, double weight) { return weight > 0 ? sum / weight : 0; }

    double medianOf(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto middle = values.size() / 2;
        return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    }

} // namespace

ServerSpeeds::ServerSpeeds(ServerSpeedOptions options)
    : m_options(options)
{
}

std::uint64_t ServerSpeeds::keyOf(const BackendLifetime& server)
{
    return addToTextHash(backendHash(server.backend), std::to_string(server.startedAtMs));
}

double ServerSpeeds::decay(Nanoseconds time)
{
    return std::exp(-std::max(0.0, std::chrono::duration<double>(time).count()) / steadySeconds);
}

ServerSpeed ServerSpeeds::Decaying::value(MonotonicTime now, double timeConstantSeconds) const
{
    auto left = sums;
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - at).count());
    return left *= std::exp(-seconds / timeConstantSeconds);
}

void ServerSpeeds::Decaying::add(const ServerSpeed& sample, MonotonicTime now, double timeConstantSeconds)
{
    sums = value(now, timeConstantSeconds);
    sums += sample;
    at = now;
}

void ServerSpeeds::notePrefill(
    const BackendLifetime& server, double takenMs, double expectedMs, double weight, MonotonicTime now)
{
    if (expectedMs > 0 && weight > 0)
        note(server, { weight * logRatio(takenMs, expectedMs), weight, 0, 0 }, now);
}

void ServerSpeeds::noteDecode(
    const BackendLifetime& server, double takenMs, double expectedMs, double weight, MonotonicTime now)
{
    if (expectedMs > 0 && weight > 0)
        note(server, { 0, 0, weight * logRatio(takenMs, expectedMs), weight }, now);
}

void ServerSpeeds::note(const BackendLifetime& server, const ServerSpeed& sample, MonotonicTime now)
{
    const auto key = keyOf(server);
    auto bounded = sample;
    // Bounds the sample around the mean of the samples so far. Times above it may be due to a queue that is
    // not known yet, and weigh less, so that a server that is chosen by many hosts does not count as slow.
    const auto known = m_local.find(key);
    const auto remote = m_remote.find(key);
    ServerSpeed before = known == m_local.end() ? ServerSpeed() : known->second.value(now, steadySeconds);
    if (remote != m_remote.end())
        before += remote->second;
    const auto bound = [](double& sum, double weight, double sumBefore, double weightBefore) {
        if (weight <= 0 || weightBefore < 1)
            return 1.0;
        const double mean = sumBefore / weightBefore;
        const double value = std::clamp(sum / weight, mean - maxSample, mean + maxSample);
        sum = weight * value;
        return value > mean ? slowSampleWeight : 1.0;
    };
    double share = bound(bounded.prefillSum, bounded.prefillWeight, before.prefillSum, before.prefillWeight);
    share *= bound(bounded.decodeSum, bounded.decodeWeight, before.decodeSum, before.decodeWeight);
    m_recent[key].add(bounded, now, recentSeconds);
    m_local[key].add(bounded *= share, now, steadySeconds);
}

ServerSpeeds::Sums ServerSpeeds::localSums(MonotonicTime now) const
{
    Sums sums;
    for (const auto& [key, decaying] : m_local) {
        const auto value = decaying.value(now, steadySeconds);
        if (value.prefillWeight + value.decodeWeight > minWeight)
            sums[key] = value;
    }
    return sums;
}

void ServerSpeeds::setRemoteSums(Sums sums, MonotonicTime now)
{
    // What was added since the last sums are samples of the last seconds. A link that opens adds old ones
    // too, which leave the recent average at the steady one.
    const double left = decay(now - m_remoteAt);
    for (const auto& [key, sum] : sums) {
        const auto before = m_remote.find(key);
        if (before == m_remote.end())
            continue;
        auto added = sum;
        auto decayed = before->second;
        added -= (decayed *= left);
        if (added.prefillWeight < 0 || added.decodeWeight < 0
            || added.prefillWeight + added.decodeWeight < minWeight)
            continue;
        m_recent[key].add(added, now, recentSeconds);
    }
    m_remote = std::move(sums);
    m_remoteAt = now;
}

void ServerSpeeds::normalise(std::vector<Estimate>& estimates)
{
    const auto medianMean = [&estimates](double ServerSpeed::*sum, double ServerSpeed::*weight) {
        std::vector<double> means;
        for (const auto& estimate : estimates) {
            if (estimate.steady.*weight >= minMeasuredWeight)
                means.push_back(meanOf(estimate.steady.*sum, estimate.steady.*weight));
        }
        return medianOf(std::move(means));
    };
    const double prefillMedian = medianMean(&ServerSpeed::prefillSum, &ServerSpeed::prefillWeight);
    const double decodeMedian = medianMean(&ServerSpeed::decodeSum, &ServerSpeed::decodeWeight);
    for (auto& estimate : estimates) {
        for (auto* speed : { &estimate.steady, &estimate.recent }) {
            speed->prefillSum -= prefillMedian * speed->prefillWeight;
            speed->decodeSum -= decodeMedian * speed->decodeWeight;
        }
    }
}

void ServerSpeeds::shrink(std::vector<Estimate>& estimates, double priorSamples)
{
    for (auto& estimate : estimates) {
        const auto& steady = estimate.steady;
        const double prefill = steady.prefillSum / (steady.prefillWeight + priorSamples);
        const double decode = steady.decodeSum / (steady.decodeWeight + priorSamples);
        // A server that has changed its role is expected to be as fast as in its previous one.
        estimate.prefill
            = (steady.prefillSum + priorSamples * decode) / (steady.prefillWeight + priorSamples);
        estimate.decode = (steady.decodeSum + priorSamples * prefill) / (steady.decodeWeight + priorSamples);
    }
}

double ServerSpeeds::spread(
    const std::vector<Estimate>& estimates, double Estimate::*factor, double ServerSpeed::*weight)
{
    std::vector<double> factors;
    std::size_t sampled = 0;
    for (const auto& estimate : estimates) {
        sampled += estimate.steady.*weight > 0 ? 1 : 0;
        if (estimate.steady.*weight >= minMeasuredWeight)
            factors.push_back(estimate.*factor);
    }
    // The first servers with enough samples are those that were chosen most, and have had queues.
    if (factors.size() < minServersForSpread || 2 * factors.size() < sampled)
        return 1;
    std::sort(factors.begin(), factors.end());
    const auto eighth = std::max<std::size_t>(1, factors.size() / 8);
    return std::exp(factors[factors.size() - 1 - eighth] - factors[eighth]);
}

bool ServerSpeeds::isUneven(const ServiceName& service, const std::vector<Estimate>& estimates)
{
    const double decode = spread(estimates, &Estimate::decode, &ServerSpeed::decodeWeight);
    const double prefill = spread(estimates, &Estimate::prefill, &ServerSpeed::prefillWeight);
    auto& uneven = m_uneven[service];
    uneven = decode >= (uneven ? m_options.evenSpread : m_options.unevenSpread)
        || prefill >= (uneven ? m_options.evenPrefillSpread : m_options.unevenPrefillSpread);
    return uneven;
}

bool ServerSpeeds::isSlowOutlier(const Estimate& estimate) const
{
    const auto& steady = estimate.steady;
    const bool slowPrefill
        = steady.prefillWeight >= minMeasuredWeight && estimate.prefill > std::log(m_options.slowPrefill);
    const bool slowDecode
        = steady.decodeWeight >= minMeasuredWeight && estimate.decode > std::log(m_options.slowDecode);
    return slowPrefill || slowDecode;
}

double ServerSpeeds::currentFactor(double steadyFactor, double steadyMean, double sum, double weight) const
{
    if (weight < m_options.minRecentSamples)
        return steadyFactor;
    const double slowDown = sum / weight - steadyMean;
    const double error = sampleError / std::sqrt(weight);
    const bool significant
        = slowDown > std::log(m_options.minSlowDown) && slowDown > m_options.minSlowDownErrors * error;
    return significant ? steadyFactor * std::exp(slowDown) : steadyFactor;
}

void ServerSpeeds::update(BackendTable& table, MonotonicTime now)
{
    std::map<ServiceName, std::vector<Estimate>> services;
    const double left = decay(now - m_remoteAt);
    for (const auto& entry : table.all()) {
        const auto key = keyOf(lifetimeOf(entry.second.record));
        Estimate estimate;
        estimate.backend = entry.first;
        if (const auto local = m_local.find(key); local != m_local.end())
            estimate.steady += local->second.value(now, steadySeconds);
        if (const auto remote = m_remote.find(key); remote != m_remote.end()) {
            auto sums = remote->second;
            estimate.steady += (sums *= left);
        }
        if (const auto recent = m_recent.find(key); recent != m_recent.end())
            estimate.recent = recent->second.value(now, recentSeconds);
        services[entry.second.record.service].push_back(estimate);
    }
    for (auto& [service, estimates] : services) {
        normalise(estimates);
        shrink(estimates, m_options.evenPriorSamples);
        const bool uneven = isUneven(service, estimates);
        for (auto& estimate : estimates)
            estimate.differs = uneven || isSlowOutlier(estimate);
        shrink(estimates, m_options.priorSamples);
        for (const auto& estimate : estimates) {
            ServerFactors factors;
            const auto& steady = estimate.steady;
            if (estimate.differs) {
                factors.steadyPrefill = std::exp(estimate.prefill);
                factors.steadyDecode = std::exp(estimate.decode);
            }
            factors.prefill
                = currentFactor(factors.steadyPrefill, meanOf(steady.prefillSum, steady.prefillWeight),
                    estimate.recent.prefillSum, estimate.recent.prefillWeight);
            factors.decode
                = currentFactor(factors.steadyDecode, meanOf(steady.decodeSum, steady.decodeWeight),
                    estimate.recent.decodeSum, estimate.recent.decodeWeight);
            table.setFactors(estimate.backend, factors);
        }
    }
    for (auto* samples : { &m_local, &m_recent }) {
        const double seconds = samples == &m_local ? steadySeconds : recentSeconds;
        for (auto each = samples->begin(); each != samples->end();) {
            const auto value = each->second.value(now, seconds);
            each = value.prefillWeight + value.decodeWeight < minWeight ? samples->erase(each)
                                                                        : std::next(each);
        }
    }
}

} // namespace almondscale
