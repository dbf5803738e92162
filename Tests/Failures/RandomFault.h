#pragma once

#include "FailureFleet.h"

#include "Core/RandomSource.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace almondscale {

// One fault of a fleet: what it is, how it is brought about and how it is mended.
struct RandomFault {
    std::string description;
    std::function<void()> begin;
    std::function<void()> end;
    // The host whose callers may be left without an answer.
    std::optional<std::size_t> failingHost;
};

// Draws one of all the faults that the fleet's processes can have.
RandomFault drawFault(FailureFleet&, const RandomSource&);

} // namespace almondscale
