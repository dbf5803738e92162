#pragma once

#include <cstdint>

namespace almondscale::standin {

// How often an attempt ran and what it made, kept over crashes for tests.
struct AttemptStats {
    std::int64_t runs = 0;
    std::int64_t tokens = 0;
};

} // namespace almondscale::standin
