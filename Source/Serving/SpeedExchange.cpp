#include "Serving/SpeedExchange.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace almondscale {

namespace {

    // Sums that are older are added up again, because they decay.
    constexpr Nanoseconds maxSumAge = std::chrono::milliseconds(500);
    // Changes by less weight, or by a smaller share of the weight, are not worth their bytes.
    constexpr double minChange = 0.5;
    constexpr double minChangeShare = 0.05;
    // Sums with less weight are forgotten.
    constexpr double minWeight = 0.02;

    double weightOf(const ServerSpeed& speed) { return speed.prefillWeight + speed.decodeWeight; }

    bool hasChanged(const ServerSpeed& now, const ServerSpeed& sent)
    {
        const auto differs = [](double a, double b, double weight) {
            return std::abs(a - b) >= std::max(minChange, minChangeShare * weight);
        };
        return differs(now.prefillWeight, sent.prefillWeight, now.prefillWeight)
            || differs(now.decodeWeight, sent.decodeWeight, now.decodeWeight)
            || differs(now.prefillSum, sent.prefillSum, now.prefillWeight)
            || differs(now.decodeSum, sent.decodeSum, now.decodeWeight);
    }

} // namespace

ServerSpeed SpeedExchange::Sum::value(MonotonicTime now) const
{
    auto left = speed;
    return left *= ServerSpeeds::decay(now - at);
}

void SpeedExchange::receive(Link link, bool follower, const Sums& sums, MonotonicTime now)
{
    auto& state = m_links[link];
    m_stale = m_stale || !sums.empty() || state.follower != follower;
    state.follower = follower;
    for (const auto& [server, speed] : sums)
        state.received[server] = { speed, now };
}

void SpeedExchange::remove(Link link)
{
    m_links.erase(link);
    m_stale = true;
}

void SpeedExchange::sumUp(MonotonicTime now)
{
    if (!m_stale && now - m_summedAt < maxSumAge)
        return;
    m_total.clear();
    m_followers.clear();
    for (auto& [link, state] : m_links) {
        for (auto each = state.received.begin(); each != state.received.end();) {
            const auto value = each->second.value(now);
            if (weightOf(value) < minWeight) {
                each = state.received.erase(each);
                continue;
            }
            m_total[each->first] += value;
            if (state.follower)
                m_followers[each->first] += value;
            ++each;
        }
    }
    m_summedAt = now;
    m_stale = false;
}

SpeedExchange::Sums SpeedExchange::remoteSums(MonotonicTime now)
{
    sumUp(now);
    return m_total;
}

SpeedExchange::Sums SpeedExchange::changesFor(
    Link link, bool follower, const Sums& local, std::size_t maxCount, MonotonicTime now)
{
    sumUp(now);
    auto& state = m_links[link];
    auto sums = follower ? m_total : m_followers;
    if (follower) {
        for (const auto& [server, sum] : state.received)
            sums[server] -= sum.value(m_summedAt);
    }
    for (const auto& [server, speed] : local)
        sums[server] += speed;
    // What is gone here is withdrawn at the other end.
    for (auto sent = state.sent.begin(); sent != state.sent.end();) {
        if (weightOf(sent->second.value(now)) < minWeight) {
            sent = state.sent.erase(sent);
            continue;
        }
        sums.emplace(sent->first, ServerSpeed());
        ++sent;
    }
    std::vector<std::uint64_t> changed;
    for (const auto& [server, speed] : sums) {
        const auto sent = state.sent.find(server);
        if (hasChanged(speed, sent == state.sent.end() ? ServerSpeed() : sent->second.value(now)))
            changed.push_back(server);
    }
    // In turn, so that with many servers each is sent from time to time.
    std::sort(changed.begin(), changed.end());
    std::rotate(
        changed.begin(), std::upper_bound(changed.begin(), changed.end(), state.lastSent), changed.end());
    changed.resize(std::min(changed.size(), maxCount));
    Sums changes;
    for (const auto server : changed) {
        changes[server] = sums[server];
        state.sent[server] = { sums[server], now };
        state.lastSent = server;
    }
    return changes;
}

} // namespace almondscale
