#pragma once

namespace almondscale {

// Whether an engine may get new work. Only an open engine does.
enum class EngineAvailability {
    Open,
    // An order is being prepared; running work is finished.
    Closing,
    // The backend server is being withdrawn.
    Leaving,
    Dead,
    // Nothing has been heard of it yet.
    Unknown,
};

} // namespace almondscale
