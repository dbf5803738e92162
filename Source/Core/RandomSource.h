#pragma once

#include <cstdint>
#include <functional>

namespace almondscale {

// Returns 64 uniformly distributed random bits.
using RandomSource = std::function<std::uint64_t()>;

// A deterministic source for tests and experiments.
RandomSource seededRandom(std::uint64_t seed);

// A source seeded by the operating system.
RandomSource systemRandom();

// A uniformly distributed number in [0, 1).
double uniform(const RandomSource&);

// A number in [0, bound). The bound must not be 0.
std::uint64_t uniformBelow(const RandomSource&, std::uint64_t bound);

} // namespace almondscale
