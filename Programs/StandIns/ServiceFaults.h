#pragma once

#include "Core/MonotonicTime.h"

#include <cstddef>
#include <cstdint>

namespace almondscale::standin {

// The faults that a stand-in service can be told to have.
struct ServiceFaults {
    Nanoseconds slow {};
    // The numbers of calls still to run without an answer, to run and be held open
    // without an answer, and to be refused without a run.
    std::int64_t loseAnswers = 0;
    std::int64_t hang = 0;
    std::int64_t refuse = 0;
    // Each answer's body is cut after this many bytes; 0 is off.
    std::int64_t cutAfterBytes = 0;
};

} // namespace almondscale::standin
