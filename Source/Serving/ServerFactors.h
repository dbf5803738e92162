#pragma once

namespace almondscale {

// How much longer a server takes than the typical server of its service; 1 for the typical server. A plain
// server has the factor of its requests in `decode`.
struct ServerFactors {
    // As expected for the next request, including a temporary slow-down.
    double prefill = 1;
    double decode = 1;
    // Averaged over seconds.
    double steadyPrefill = 1;
    double steadyDecode = 1;
};

} // namespace almondscale
