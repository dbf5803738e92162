#include "Admission/DistributedRateLimiter.h"

#include "Admission/RequestRate.h"
#include "Admission/ShareCoordinator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <xxhash.h>

namespace almondscale {

namespace {

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    Nanoseconds nanoseconds(double time)
    {
        constexpr double longest = 3600;
        return std::chrono::duration_cast<Nanoseconds>(
            std::chrono::duration<double>(std::min(time, longest)));
    }

    // In requests per second. A bucket with a lower request rate can be removed.
    constexpr double negligibleRate = 0.02;

} // namespace

class DistributedRateLimiter::Impl {
public:
    Impl(HostId self, LimitLookup limitOf, RateLimiterOptions options)
        : m_self(std::move(self))
        , m_limitOf(std::move(limitOf))
        , m_options(options)
    {
    }

    struct Bucket {
        double tokens = 0;
        MonotonicTime refilledAt;
        RequestRate demand;
        // Set while this host exchanges messages with the coordinator. In requests per second.
        std::optional<double> share;
        std::uint64_t sequence = 0;
        HostId coordinator;
        // The value of m_epoch for which the coordinator was determined.
        std::uint64_t coordinatorEpoch = 0;
        HostId reportedTo;
        double reportedDemand = 0;
        MonotonicTime reportedAt {};
        bool reportDue = false;
        bool exhausted = false;
    };

    using Buckets = std::unordered_map<Organisation, Bucket>;

    double equalShare(double limit) const
    {
        return limit / static_cast<double>(std::max<std::size_t>(1, m_peers.size()));
    }

    double shareOf(const Bucket& bucket, double limit) const
    {
        return bucket.share.value_or(equalShare(limit));
    }

    double burst(const Bucket& bucket, double limit) const
    {
        const double share = shareOf(bucket, limit);
        const double slow = std::min(m_options.maxLowRateBurst, share * m_options.lowRateBurstSeconds);
        return std::max({ m_options.minBurst, slow, share * m_options.burstSeconds });
    }

    Bucket& bucketOf(const Organisation& organisation, double limit, MonotonicTime now)
    {
        const auto found = m_buckets.find(organisation);
        if (found != m_buckets.end())
            return found->second;
        auto& added = m_buckets[organisation];
        added.tokens = burst(added, limit);
        added.refilledAt = now;
        return added;
    }

    void refill(Bucket& bucket, double limit, MonotonicTime now) const
    {
        const double added = shareOf(bucket, limit) * seconds(now - bucket.refilledAt);
        bucket.tokens = std::min(burst(bucket, limit), bucket.tokens + std::max(0.0, added));
        bucket.refilledAt = now;
    }

    std::optional<MonotonicTime> admit(const Organisation& organisation, MonotonicTime now)
    {
        const auto limit = m_limitOf(organisation);
        if (!limit)
            return std::nullopt;
        auto& bucket = bucketOf(organisation, *limit, now);
        refill(bucket, *limit, now);
        bucket.demand.add(now);
        if (bucket.tokens < 1) {
            bucket.exhausted = true;
            const double share = std::max(1e-9, shareOf(bucket, *limit));
            return now + nanoseconds((1 - bucket.tokens) / share);
        }
        bucket.tokens -= 1;
        bucket.exhausted = bucket.exhausted || bucket.tokens < 1;
        return std::nullopt;
    }

    // Chooses the coordinator of an organisation by rendezvous hashing. Hosts with the same list of
    // peers choose the same one.
    HostId coordinatorOf(const Organisation& organisation) const
    {
        const auto& text = organisation.text();
        const auto seed = XXH64(text.data(), text.size(), 0);
        const auto weight = [&](const LimitPeer& peer) {
            return XXH64(peer.host.text().data(), peer.host.text().size(), seed);
        };
        const auto coordinator = std::max_element(m_peers.begin(), m_peers.end(),
            [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
        return coordinator == m_peers.end() ? m_self : coordinator->host;
    }

    std::vector<LimitMessage> tick(MonotonicTime now)
    {
        std::vector<LimitMessage> messages;
        for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
            const auto limit = m_limitOf(entry->first);
            if (!limit || idle(entry->second, *limit, now)) {
                entry = m_buckets.erase(entry);
                continue;
            }
            report(entry->first, entry->second, *limit, now, messages);
            ++entry;
        }
        for (auto entry = m_coordinators.begin(); entry != m_coordinators.end();) {
            const auto limit = m_limitOf(entry->first);
            if (!limit || coordinatorOf(entry->first) != m_self) {
                entry = m_coordinators.erase(entry);
                continue;
            }
            const auto more = entry->second.tick(m_self, m_peers, *limit, m_options, now);
            messages.insert(messages.end(), more.begin(), more.end());
            entry = entry->second.released() ? m_coordinators.erase(entry) : std::next(entry);
        }
        return deliverToSelf(std::move(messages), now);
    }

    bool idle(Bucket& bucket, double limit, MonotonicTime now) const
    {
        if (bucket.share)
            return false;
        refill(bucket, limit, now);
        return bucket.demand.perSecond(now) < negligibleRate && bucket.tokens >= burst(bucket, limit);
    }

    void report(const Organisation& organisation, Bucket& bucket, double limit, MonotonicTime now,
        std::vector<LimitMessage>& messages) const
    {
        const double share = shareOf(bucket, limit);
        const double demand = bucket.demand.perSecond(now);
        const bool nearLimit = bucket.exhausted && demand > m_options.reportThreshold * share;
        bucket.exhausted = false;
        if (!nearLimit && !bucket.share)
            return;
        if (bucket.coordinatorEpoch != m_epoch) {
            bucket.coordinator = coordinatorOf(organisation);
            bucket.coordinatorEpoch = m_epoch;
        }
        const auto& coordinator = bucket.coordinator;
        const double minChange
            = std::max(m_options.minChange * equalShare(limit), bucket.demand.uncertainty(now));
        const bool changed = std::abs(demand - bucket.reportedDemand) > minChange;
        const bool retransmitDue = now >= bucket.reportedAt + m_options.retransmitInterval;
        if (!bucket.reportDue && !changed && coordinator == bucket.reportedTo
            && !(retransmitDue && demand > negligibleRate))
            return;
        // Keeps the current share until the coordinator grants another one.
        bucket.share = share;
        bucket.reportDue = false;
        bucket.reportedTo = coordinator;
        bucket.reportedDemand = demand;
        bucket.reportedAt = now;
        messages.push_back({ LimitMessage::Kind::Report, m_self, coordinator, organisation, demand, share,
            bucket.sequence });
    }

    // Handles messages of this host to itself and returns the others.
    std::vector<LimitMessage> deliverToSelf(std::vector<LimitMessage> messages, MonotonicTime now)
    {
        std::vector<LimitMessage> others;
        for (auto& message : messages) {
            if (message.to == m_self)
                onMessage(message, now);
            else
                others.push_back(std::move(message));
        }
        return others;
    }

    void onMessage(const LimitMessage& message, MonotonicTime now)
    {
        const auto limit = m_limitOf(message.organisation);
        if (!limit)
            return;
        if (message.kind == LimitMessage::Kind::Report) {
            if (coordinatorOf(message.organisation) != m_self)
                return;
            const auto coordinator
                = m_coordinators.try_emplace(message.organisation, message.organisation, now).first;
            coordinator->second.onReport(message, now);
            return;
        }
        auto& bucket = bucketOf(message.organisation, *limit, now);
        refill(bucket, *limit, now);
        if (message.kind == LimitMessage::Kind::Release) {
            bucket.share.reset();
            bucket.sequence = 0;
            return;
        }
        if (message.kind == LimitMessage::Kind::Loan) {
            bucket.share.reset();
            bucket.tokens = burst(bucket, *limit);
            return;
        }
        if (!bucket.share)
            bucket.share = equalShare(*limit);
        // Ignores an older grant that arrives late.
        if (message.kind == LimitMessage::Kind::Grant && message.sequence > bucket.sequence) {
            bucket.share = message.share;
            bucket.sequence = message.sequence;
        }
        bucket.tokens = std::min(bucket.tokens, burst(bucket, *limit));
        bucket.reportDue = true;
    }

    HostId m_self;
    LimitLookup m_limitOf;
    RateLimiterOptions m_options;
    std::vector<LimitPeer> m_peers;
    // Incremented with each change of the peers.
    std::uint64_t m_epoch = 1;
    Buckets m_buckets;
    std::map<Organisation, ShareCoordinator> m_coordinators;
};

DistributedRateLimiter::DistributedRateLimiter(HostId self, LimitLookup limitOf, RateLimiterOptions options)
    : m_impl(std::make_unique<Impl>(std::move(self), std::move(limitOf), options))
{
}

DistributedRateLimiter::~DistributedRateLimiter() = default;
DistributedRateLimiter::DistributedRateLimiter(DistributedRateLimiter&&) noexcept = default;
DistributedRateLimiter& DistributedRateLimiter::operator=(DistributedRateLimiter&&) noexcept = default;

void DistributedRateLimiter::setPeers(const std::vector<LimitPeer>& peers)
{
    m_impl->m_peers = peers;
    ++m_impl->m_epoch;
}

std::optional<MonotonicTime> DistributedRateLimiter::admit(
    const Organisation& organisation, MonotonicTime now)
{
    return m_impl->admit(organisation, now);
}

std::vector<LimitMessage> DistributedRateLimiter::tick(MonotonicTime now) { return m_impl->tick(now); }

void DistributedRateLimiter::onMessage(const LimitMessage& message, MonotonicTime now)
{
    m_impl->onMessage(message, now);
}

double DistributedRateLimiter::share(const Organisation& organisation) const
{
    const auto limit = m_impl->m_limitOf(organisation);
    const auto bucket = m_impl->m_buckets.find(organisation);
    if (!limit)
        return 0;
    return bucket == m_impl->m_buckets.end() ? m_impl->equalShare(*limit)
                                             : m_impl->shareOf(bucket->second, *limit);
}

std::size_t DistributedRateLimiter::buckets() const { return m_impl->m_buckets.size(); }

std::size_t DistributedRateLimiter::exchanged() const
{
    return static_cast<std::size_t>(std::count_if(m_impl->m_buckets.begin(), m_impl->m_buckets.end(),
        [](const auto& entry) { return entry.second.share.has_value(); }));
}

std::size_t DistributedRateLimiter::coordinated() const { return m_impl->m_coordinators.size(); }

} // namespace almondscale
