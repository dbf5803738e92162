#include "Shift/ClairvoyantBound.h"

#include "Roles/RoleCapacity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace almondscale {

namespace {

    constexpr Nanoseconds interval = std::chrono::seconds(2);
    constexpr double never = -std::numeric_limits<double>::infinity();

    // How many engines serve in each role, and how many are away, by the intervals they have been so.
    struct PoolState {
        RoleCounts serving;
        std::vector<int> away;

        friend bool operator<(const PoolState& a, const PoolState& b)
        {
            const auto key = [](const PoolState& state) {
                return std::make_tuple(state.serving.prefill, state.serving.decode, state.serving.mixed);
            };
            return key(a) < key(b) || (key(a) == key(b) && a.away < b.away);
        }
    };

    struct Transition {
        std::size_t to;
        int changes;
    };

    // The states of a pool and the ways from one interval to the next.
    class StateSpace {
    public:
        StateSpace(const RoleCounts& initial, int stages)
        {
            add({ initial, std::vector<int>(static_cast<std::size_t>(stages)) });
            // The list grows while it is walked.
            for (std::size_t i = 0; i < m_states.size(); ++i)
                expand(i);
        }

        const std::vector<PoolState>& states() const { return m_states; }
        const std::vector<Transition>& from(std::size_t state) const { return m_transitions[state]; }

    private:
        std::size_t add(const PoolState& state)
        {
            const auto [entry, added] = m_index.emplace(state, m_states.size());
            if (added)
                m_states.push_back(state);
            return entry->second;
        }

        void expand(std::size_t index)
        {
            const PoolState state = m_states[index];
            std::vector<Transition> transitions;
            for (const auto& landing : allRoleCounts(state.away.back())) {
                for (int prefill = 0; prefill <= state.serving.prefill; ++prefill) {
                    for (int decode = 0; decode <= state.serving.decode; ++decode) {
                        for (int mixed = 0; mixed <= state.serving.mixed; ++mixed)
                            transitions.push_back(step(state, landing, { prefill, decode, mixed }));
                    }
                }
            }
            m_transitions.push_back(std::move(transitions));
        }

        Transition step(const PoolState& state, const RoleCounts& landing, const RoleCounts& leaving)
        {
            PoolState next = state;
            next.serving.prefill += landing.prefill - leaving.prefill;
            next.serving.decode += landing.decode - leaving.decode;
            next.serving.mixed += landing.mixed - leaving.mixed;
            next.away.pop_back();
            next.away.insert(next.away.begin(), leaving.total());
            return { add(next), leaving.total() };
        }

        std::map<PoolState, std::size_t> m_index;
        std::vector<PoolState> m_states;
        std::vector<std::vector<Transition>> m_transitions;
    };

    // The best that is known of being in a state at the end of an interval.
    struct Value {
        // Answers given in time so far.
        double served = never;
        // These and the requests that may still be answered.
        double reachable = never;
        int changes = 0;
    };

    struct IntervalLoad {
        double arrivals = 0;
        // Arrivals up to the interval's end whose deadline lies beyond it.
        double open = 0;
    };

    std::vector<IntervalLoad> countArrivals(const PoolArrivals& pool)
    {
        std::vector<IntervalLoad> loads;
        for (const auto& arrival : pool.arrivals) {
            const auto first = static_cast<std::size_t>(arrival.at.time_since_epoch() / interval);
            const auto last = static_cast<std::size_t>(arrival.deadline.time_since_epoch() / interval);
            if (loads.size() <= last)
                loads.resize(last + 1);
            loads[first].arrivals += 1;
            for (auto i = first; i < last; ++i)
                loads[i].open += 1;
        }
        return loads;
    }

    void takeLeast(std::optional<Demand>& least, const Demand& demand)
    {
        if (!least)
            least = demand;
        least->prefillTokens = std::min(least->prefillTokens, demand.prefillTokens);
        least->decodeTokens = std::min(least->decodeTokens, demand.decodeTokens);
        least->contextTokens = std::min(least->contextTokens, demand.contextTokens);
    }

    // The least of each size among the requests that may be in work in the interval.
    std::optional<Demand> leastDemand(const Mix& mix, int model, std::size_t index)
    {
        const Nanoseconds from = interval * static_cast<std::int64_t>(index);
        std::optional<Demand> least;
        for (const auto& segment : mix.segments) {
            const bool before = segment.start + segment.length + segment.deadline <= from;
            const bool after = segment.start >= from + interval;
            if (segment.model == model && !before && !after && segment.requestsPerSecond > 0)
                takeLeast(least, segmentDemand(segment));
        }
        return least;
    }

    class Capacities {
    public:
        explicit Capacities(const EngineProfile& speeds)
            : m_capacity(speeds)
        {
        }

        double answers(const RoleCounts& counts, const Demand& demand)
        {
            const std::array<double, 6> key { demand.prefillTokens, demand.decodeTokens, demand.contextTokens,
                static_cast<double>(counts.prefill), static_cast<double>(counts.decode),
                static_cast<double>(counts.mixed) };
            const auto known = m_known.find(key);
            if (known != m_known.end())
                return known->second;
            const double rate = m_capacity.answersPerSecond(counts, demand);
            return m_known[key] = rate * std::chrono::duration<double>(interval).count();
        }

    private:
        RoleCapacity m_capacity;
        std::map<std::array<double, 6>, double> m_known;
    };

    // Whether the first value is better; of two equal ones that with fewer changes is.
    bool better(double served, int changes, const Value& known)
    {
        return served > known.served || (served == known.served && changes < known.changes);
    }

    std::vector<Value> advance(const StateSpace& space, const std::vector<Value>& values,
        const IntervalLoad& load, const std::vector<double>& capacity)
    {
        std::vector<Value> next(values.size());
        for (std::size_t from = 0; from < values.size(); ++from) {
            const auto& value = values[from];
            if (value.served == never)
                continue;
            for (const auto& transition : space.from(from)) {
                auto& to = next[transition.to];
                const double served
                    = std::min(value.reachable + load.arrivals, value.served + capacity[transition.to]);
                const int changes = value.changes + transition.changes;
                if (better(served, changes, to)) {
                    to.served = served;
                    to.changes = changes;
                }
                to.reachable = std::max(to.reachable, value.reachable + load.arrivals);
            }
        }
        for (auto& value : next)
            value.reachable = std::min(value.reachable, value.served + load.open);
        return next;
    }

} // namespace

ClairvoyantResult clairvoyantBound(
    const Mix& mix, const Fleet& fleet, const PoolArrivals& pool, const RoleCounts& initial)
{
    // A change takes an engine away for at least this many whole intervals, wherever it begins.
    const int stages = std::max(1, static_cast<int>(fleet.roleChange / interval) - 1);
    const StateSpace space(initial, stages);
    const auto loads = countArrivals(pool);
    Capacities capacities(fleet.speeds);
    std::vector<Value> values(space.states().size());
    values[0] = { 0, 0, 0 };
    std::vector<double> capacity(values.size());
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const auto demand = leastDemand(mix, pool.model, i);
        for (std::size_t state = 0; state < capacity.size(); ++state)
            capacity[state] = demand ? capacities.answers(space.states()[state].serving, *demand) : 0;
        values = advance(space, values, loads[i], capacity);
    }
    Value best;
    for (const auto& value : values) {
        if (better(value.served, value.changes, best))
            best = value;
    }
    // The bisection of the capacity stops just short of its limit.
    constexpr double roundingShare = 1e-4;
    const auto offered = static_cast<double>(pool.arrivals.size());
    return { std::min(offered, best.served * (1 + roundingShare)), best.changes };
}

} // namespace almondscale
