#pragma once

namespace almondscale {

// Measured times of a server divided by those of a typical server of its service, as weighted sums so that
// the measurements of several hosts can be added.
struct ServerSpeed {
    double prefillSum = 0;
    double prefillWeight = 0;
    double decodeSum = 0;
    double decodeWeight = 0;

    ServerSpeed& operator+=(const ServerSpeed& other)
    {
        prefillSum += other.prefillSum;
        prefillWeight += other.prefillWeight;
        decodeSum += other.decodeSum;
        decodeWeight += other.decodeWeight;
        return *this;
    }
};

} // namespace almondscale
