#include "Core/RandomSource.h"

#include <memory>
#include <random>

namespace almondscale {

namespace {

    // The number of bits in the significand of a double.
    constexpr int significandBits = 53;

} // namespace

RandomSource seededRandom(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] { return (*engine)(); };
}

RandomSource systemRandom()
{
    std::random_device device;
    const std::uint64_t high = device();
    return seededRandom((high << 32) | device());
}

double uniform(const RandomSource& random)
{
    return static_cast<double>(random() >> (64 - significandBits))
        / static_cast<double>(1ULL << significandBits);
}

std::uint64_t uniformBelow(const RandomSource& random, std::uint64_t bound) { return random() % bound; }

} // namespace almondscale
