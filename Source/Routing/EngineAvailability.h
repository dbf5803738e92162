#pragma once

namespace almondscale {

// Whether an engine accepts new work. Only an open engine does.
enum class EngineAvailability {
    Open,
    // The engine finishes its running work before an order is carried out.
    Closing,
    // The backend server is being removed.
    Leaving,
    Dead,
    // The engine has not reported yet.
    Unknown,
};

} // namespace almondscale
