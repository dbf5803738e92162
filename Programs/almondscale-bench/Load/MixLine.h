#pragma once

#include <cstdint>
#include <string>

namespace almondscale {

// A range of whole numbers, with both ends.
struct CountRange {
    std::int64_t low = 0;
    std::int64_t high = 0;
};

// One kind of call in a mix, and the part of the run in which it comes.
struct MixLine {
    bool booking = false;
    // The part of the run, from 0 to 1.
    double from = 0;
    double until = 1;
    // How often the call comes compared with the other lines in force.
    double weight = 1;
    CountRange promptWords { 100, 100 };
    CountRange maxTokens { 4, 4 };
    // How many prompt beginnings there are, and their share of a prompt.
    std::int64_t prefixes = 8;
    double prefixShare = 0.5;
    // The share of bookings that are sent once more with the same key to another host.
    double repeat = 0;
    std::string organisation = "nigam";
    int priority = 0;
};

} // namespace almondscale
