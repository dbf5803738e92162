#pragma once

namespace almondscale {

// The logarithms of a server's measured times divided by the expected times, as weighted sums so that the
// measurements of several hosts can be added. A sample has a weight of at most 1.
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
    ServerSpeed& operator-=(const ServerSpeed& other)
    {
        auto less = other;
        return *this += (less *= -1);
    }
    ServerSpeed& operator*=(double factor)
    {
        prefillSum *= factor;
        prefillWeight *= factor;
        decodeSum *= factor;
        decodeWeight *= factor;
        return *this;
    }
};

} // namespace almondscale
