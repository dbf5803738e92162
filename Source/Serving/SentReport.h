#pragma once

#include "Serving/UsageWindow.h"

#include <cstdint>

namespace almondscale {

// A report of usage that may have been sent.
struct SentReport {
    UsageWindow window;
    // The hash of its body.
    std::uint64_t body = 0;

    friend bool operator==(const SentReport& a, const SentReport& b)
    {
        return a.window == b.window && a.body == b.body;
    }
};

} // namespace almondscale
