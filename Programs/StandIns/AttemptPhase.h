#pragma once

namespace almondscale::standin {

// What part of an attempt an engine is asked to carry out.
enum class AttemptPhase {
    Full,
    Prefill,
    Decode,
};

} // namespace almondscale::standin
