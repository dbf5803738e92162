#pragma once

#include "Serving/Placement.h"
#include "ServingFixtures.h"

#include <algorithm>
#include <list>
#include <utility>

namespace almondscale {

// A prefill of a simulated load.
struct SimulatedPrefill {
    MonotonicTime arrivedAt {};
    PlacementChoice choice;
    double leftMs = 0;
};

// An engine that prefills in order of arrival, and deferred prompts only if no others wait.
class SimulatedEngine {
public:
    void add(SimulatedPrefill job)
    {
        (job.choice.deferred ? m_deferred : m_urgent).push_back(std::move(job));
    }

    // Runs until the given time and reports each completed job with its completion time.
    template <typename Ended> void workUntil(MonotonicTime end, const Ended& ended)
    {
        while (m_now < end && !(m_urgent.empty() && m_deferred.empty())) {
            auto& jobs = m_urgent.empty() ? m_deferred : m_urgent;
            const double step = std::min(
                jobs.front().leftMs, std::chrono::duration<double, std::milli>(end - m_now).count());
            m_now += Nanoseconds(static_cast<std::int64_t>(step * 1e6) + 1);
            jobs.front().leftMs -= step;
            if (jobs.front().leftMs > 0)
                continue;
            ended(jobs.front(), m_now);
            jobs.pop_front();
        }
        m_now = std::max(m_now, end);
    }

private:
    MonotonicTime m_now = testStart;
    std::list<SimulatedPrefill> m_urgent;
    std::list<SimulatedPrefill> m_deferred;
};

} // namespace almondscale
