#include "Admission/AdmissionQueue.h"

#include "Admission/WorkRate.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace almondscale {

namespace {

    // The minimum throughput assumed for a pool, as a fraction of the initial one, so that requests
    // are tried again after the pool has stalled.
    constexpr double minFractionOfInitial = 0.1;

    // The time constant of the averaged work rates.
    constexpr Nanoseconds rateWindow = std::chrono::seconds(3);

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    Nanoseconds nanoseconds(double time)
    {
        constexpr double longest = 1e6;
        return std::chrono::duration_cast<Nanoseconds>(
            std::chrono::duration<double>(std::min(time, longest)));
    }

} // namespace

class AdmissionQueue::Impl {
public:
    explicit Impl(AdmissionOptions options)
        : m_options(options)
        , m_throughput(options.initialWorkPerSecond, rateWindow)
    {
    }

    // The requests of one priority, ordered by deadline.
    struct Level {
        std::multimap<Deadline, WaitingRequest> waiting;
        // The work taken from this level in turns of the fair share, in seconds.
        double fairShareWork = 0;
        Nanoseconds work {};
        WorkRate arrivalRate { 0, rateWindow };
    };

    using Levels = std::map<Priority, Level>;

    std::optional<AdmissionRefusal> submit(const WaitingRequest& request, MonotonicTime now)
    {
        if (m_index.empty()) {
            m_throughput.restartAt(now);
            m_waitingSince = now;
        }
        // Refused requests delay no others, so their work is not counted as arriving.
        if (!canMeetDeadline(request, expectedWait(request.priority, request.deadline, now), now))
            return refusal(request, ErrorKind::DeadlineUnreachable, now);
        if (m_index.size() >= m_options.maxRequests || m_bytes + request.bytes > m_options.maxBytes)
            return refusal(request, ErrorKind::QueueFull, now);
        auto& level = m_levels[request.priority];
        if (level.waiting.empty())
            level.fairShareWork = std::max(level.fairShareWork, minFairShareWork());
        level.arrivalRate.add(request.work, now);
        level.waiting.emplace(request.deadline, request);
        level.work += request.work;
        m_bytes += request.bytes;
        m_index[request.id] = { request.priority, request.deadline };
        return std::nullopt;
    }

    std::optional<WaitingRequest> next() const
    {
        const auto level = nextLevel();
        if (level == m_levels.end())
            return std::nullopt;
        return level->second.waiting.begin()->second;
    }

    std::vector<WaitingRequest> upcoming(std::size_t most) const
    {
        std::vector<WaitingRequest> requests;
        const auto first = nextLevel();
        if (first != m_levels.end())
            append(first->second, most, requests);
        for (auto level = m_levels.end(); level != m_levels.begin();) {
            --level;
            if (level != first)
                append(level->second, most, requests);
        }
        return requests;
    }

    static void append(const Level& level, std::size_t most, std::vector<WaitingRequest>& requests)
    {
        for (const auto& [deadline, request] : level.waiting) {
            if (requests.size() >= most)
                return;
            requests.push_back(request);
        }
    }

    void take(const RequestId& id, MonotonicTime now)
    {
        const auto request = erase(id);
        if (!request)
            return;
        // The throughput reflects the capacity of the pool only while requests wait.
        if (now > m_waitingSince)
            m_throughput.add(request->work, now);
        const double work = seconds(request->work);
        // All work increases the fair share's deficit, and the work taken in its turns reduces it.
        if (m_fairShareDeficit >= 0) {
            m_levels[request->priority].fairShareWork += work;
            m_fairShareDeficit -= work;
        }
        m_fairShareDeficit += work * m_options.fairShare;
    }

    std::vector<AdmissionRefusal> sweep(MonotonicTime now)
    {
        std::vector<WaitingRequest> unreachable;
        Nanoseconds higher {};
        double higherArrivalRate = 0;
        for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
            Nanoseconds ahead {};
            for (const auto& [deadline, request] : level->second.waiting) {
                const auto wait = estimateWait(higher, higherArrivalRate, ahead, now);
                if (canMeetDeadline(request, wait, now))
                    ahead += request.work;
                else
                    unreachable.push_back(request);
            }
            higher += ahead;
            higherArrivalRate += level->second.arrivalRate.perSecond(now);
        }
        std::vector<AdmissionRefusal> refusals;
        for (const auto& request : unreachable) {
            erase(request.id);
            refusals.push_back(refusal(request, ErrorKind::DeadlineUnreachable, now));
        }
        return refusals;
    }

    Nanoseconds expectedWait(Priority priority, Deadline deadline, MonotonicTime now) const
    {
        Nanoseconds higher {};
        double higherArrivalRate = 0;
        for (auto level = m_levels.upper_bound(priority); level != m_levels.end(); ++level) {
            higher += level->second.work;
            higherArrivalRate += level->second.arrivalRate.perSecond(now);
        }
        Nanoseconds ahead {};
        const auto own = m_levels.find(priority);
        if (own != m_levels.end()) {
            const auto& waiting = own->second.waiting;
            for (auto request = waiting.begin(); request != waiting.upper_bound(deadline); ++request)
                ahead += request->second.work;
        }
        return estimateWait(higher, higherArrivalRate, ahead, now);
    }

    // A request waits for all work of higher priority and the work ahead of it in its own, or for
    // enough turns of the fair share, whichever is sooner.
    Nanoseconds estimateWait(
        Nanoseconds higher, double higherArrivalRate, Nanoseconds ahead, MonotonicTime now) const
    {
        const double minRate = minFractionOfInitial * m_options.initialWorkPerSecond;
        const double rate = std::max(minRate, m_throughput.perSecond(now));
        const double left = std::max(minRate, rate - higherArrivalRate);
        const double byPriority = seconds(higher + ahead) / left;
        const double levels = static_cast<double>(std::max<std::size_t>(1, waitingLevels()));
        const double byFairShare = seconds(ahead) * levels / (rate * m_options.fairShare);
        if (higher.count() == 0)
            return nanoseconds(seconds(ahead) / rate);
        return nanoseconds(std::min(byPriority, byFairShare));
    }

    bool canMeetDeadline(const WaitingRequest& request, Nanoseconds wait, MonotonicTime now) const
    {
        const double needed = seconds(wait + request.serviceTime) * m_options.safetyFactor;
        // Compares durations, since adding a duration to the time of an unlimited deadline
        // overflows.
        return needed <= seconds(request.deadline.remaining(now));
    }

    AdmissionRefusal refusal(const WaitingRequest& request, ErrorKind kind, MonotonicTime now) const
    {
        return { request.id, kind, retryAt(request.priority, now) };
    }

    MonotonicTime retryAt(Priority priority, MonotonicTime now) const
    {
        const auto wait = expectedWait(priority, Deadline::never(), now);
        return now + std::clamp(wait, m_options.minRetryAfter, m_options.maxRetryAfter);
    }

    std::optional<WaitingRequest> erase(const RequestId& id)
    {
        const auto place = m_index.find(id);
        if (place == m_index.end())
            return std::nullopt;
        auto& level = m_levels[place->second.priority];
        auto [first, last] = level.waiting.equal_range(place->second.deadline);
        while (first != last && first->second.id != id)
            ++first;
        WaitingRequest request = first->second;
        level.waiting.erase(first);
        level.work -= request.work;
        m_bytes -= request.bytes;
        m_index.erase(place);
        return request;
    }

    // The highest waiting priority, or in a turn of the fair share the waiting priority that has
    // received the least of it.
    Levels::const_iterator nextLevel() const
    {
        auto chosen = m_levels.end();
        for (auto level = m_levels.begin(); level != m_levels.end(); ++level) {
            if (level->second.waiting.empty())
                continue;
            const bool leastServed
                = chosen == m_levels.end() || level->second.fairShareWork < chosen->second.fairShareWork;
            if (m_fairShareDeficit < 0 || leastServed)
                chosen = level;
        }
        return chosen;
    }

    double minFairShareWork() const
    {
        double smallest = -1;
        for (const auto& [priority, level] : m_levels) {
            if (!level.waiting.empty() && (smallest < 0 || level.fairShareWork < smallest))
                smallest = level.fairShareWork;
        }
        return std::max(0.0, smallest);
    }

    std::size_t waitingLevels() const
    {
        return static_cast<std::size_t>(std::count_if(m_levels.begin(), m_levels.end(),
            [](const auto& level) { return !level.second.waiting.empty(); }));
    }

    struct Place {
        Priority priority;
        Deadline deadline;
    };

    AdmissionOptions m_options;
    WorkRate m_throughput;
    MonotonicTime m_waitingSince {};
    Levels m_levels;
    std::unordered_map<RequestId, Place> m_index;
    ByteCount m_bytes;
    // In seconds of work. A turn of the fair share is due while this is not negative.
    double m_fairShareDeficit = -1e-9;
};

AdmissionQueue::AdmissionQueue(AdmissionOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;

std::optional<AdmissionRefusal> AdmissionQueue::submit(const WaitingRequest& request, MonotonicTime now)
{
    return m_impl->submit(request, now);
}

std::optional<WaitingRequest> AdmissionQueue::next(MonotonicTime) const { return m_impl->next(); }

std::vector<WaitingRequest> AdmissionQueue::upcoming(std::size_t most) const
{
    return m_impl->upcoming(most);
}

void AdmissionQueue::take(const RequestId& id, MonotonicTime now) { m_impl->take(id, now); }

void AdmissionQueue::remove(const RequestId& id) { m_impl->erase(id); }

std::vector<AdmissionRefusal> AdmissionQueue::sweep(MonotonicTime now) { return m_impl->sweep(now); }

std::size_t AdmissionQueue::size() const { return m_impl->m_index.size(); }

ByteCount AdmissionQueue::bytes() const { return m_impl->m_bytes; }

Nanoseconds AdmissionQueue::expectedWait(Priority priority, Deadline deadline, MonotonicTime now) const
{
    return m_impl->expectedWait(priority, deadline, now);
}

MonotonicTime AdmissionQueue::retryAt(Priority priority, MonotonicTime now) const
{
    return m_impl->retryAt(priority, now);
}

} // namespace almondscale
