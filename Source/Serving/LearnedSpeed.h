#pragma once

#include "Serving/EngineSpeedModel.h"

#include <array>
#include <cstddef>

namespace almondscale {

// Coefficients of EngineSpeedModel learned by one or more hosts, weighted by their number of prefills so that
// estimates of several hosts can be added.
struct LearnedSpeed {
    static constexpr std::size_t coefficientCount = 4;

    double weight = 0;
    // In the order of EngineSpeedModel, each multiplied by the weight.
    std::array<double, coefficientCount> sums {};

    LearnedSpeed& operator+=(const LearnedSpeed& other)
    {
        weight += other.weight;
        for (std::size_t i = 0; i < coefficientCount; ++i)
            sums.at(i) += other.sums.at(i);
        return *this;
    }
    LearnedSpeed& operator*=(double factor)
    {
        weight *= factor;
        for (auto& sum : sums)
            sum *= factor;
        return *this;
    }

    EngineSpeedModel mean() const
    {
        return { sums[0] / weight, sums[1] / weight, sums[2] / weight, sums[3] / weight };
    }
};

} // namespace almondscale
