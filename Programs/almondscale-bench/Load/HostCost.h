#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "Load/LoadCaller.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondscale {

// The processor time that the hosts have used since they started; nothing if one does not tell.
std::optional<Nanoseconds> processorTime(const std::vector<Address>& hosts);

// The times of the same small calls through a host and straight to an engine.
struct ProbeTimes {
    std::vector<Nanoseconds> throughHost;
    std::vector<Nanoseconds> direct;
};

// Sends pairs of calls one after the other, in turns over the hosts and engines.
ProbeTimes probe(const std::vector<Address>& hosts, const std::vector<Address>& engines, const CallSettings&,
    std::size_t pairs, std::uint64_t seed);

} // namespace almondscale
