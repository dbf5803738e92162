#include "Report/BurnHistory.h"

namespace almondscale {

namespace {

    std::int64_t bucketIndex(WallTime time, std::chrono::seconds length)
    {
        return time.time_since_epoch() / length;
    }

    void eraseBefore(BurnHistory::Buckets& buckets, std::int64_t first)
    {
        buckets.erase(buckets.begin(), buckets.lower_bound(first));
    }

} // namespace

void BurnHistory::add(const BurnCounts& counts, WallTime time)
{
    m_fine[bucketIndex(time, fineBurnBucketLength)] += counts;
    m_coarse[bucketIndex(time, coarseBurnBucketLength)] += counts;
}

void BurnHistory::merge(const BurnHistory& other)
{
    for (const auto& [bucket, counts] : other.m_fine)
        m_fine[bucket] += counts;
    for (const auto& [bucket, counts] : other.m_coarse)
        m_coarse[bucket] += counts;
}

void BurnHistory::removeExpired(WallTime now)
{
    eraseBefore(
        m_fine, bucketIndex(now, fineBurnBucketLength) - static_cast<std::int64_t>(fineBurnBucketCount) + 1);
    eraseBefore(m_coarse,
        bucketIndex(now, coarseBurnBucketLength) - static_cast<std::int64_t>(coarseBurnBucketCount) + 1);
}

BurnCounts BurnHistory::sum(const BurnWindow& window, WallTime now) const
{
    const auto& buckets = window.bucketLength == fineBurnBucketLength ? m_fine : m_coarse;
    const auto last = bucketIndex(now, window.bucketLength);
    const auto first = last - window.length / window.bucketLength + 1;
    BurnCounts sum;
    for (auto bucket = buckets.lower_bound(first); bucket != buckets.end() && bucket->first <= last; ++bucket)
        sum += bucket->second;
    return sum;
}

void BurnHistory::setBucket(bool fine, std::int64_t bucket, const BurnCounts& counts)
{
    (fine ? m_fine : m_coarse)[bucket] = counts;
}

} // namespace almondscale
