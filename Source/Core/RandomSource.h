#pragma once

#include <cstdint>
#include <functional>

namespace almondscale {

// Draws 64 uniformly distributed bits.
using RandomSource = std::function<std::uint64_t()>;

// A repeatable source for tests and experiments.
RandomSource seededRandom(std::uint64_t seed);

// A source seeded by the operating system.
RandomSource systemRandom();

// A number in [0, 1).
double uniform(const RandomSource&);

// A number in [0, bound); bound must not be 0.
std::uint64_t uniformBelow(const RandomSource&, std::uint64_t bound);

} // namespace almondscale
