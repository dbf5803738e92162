#pragma once

#include "Core/ServiceName.h"
#include "Serving/LearnedSpeed.h"
#include "Serving/PrefillSample.h"

#include <map>

namespace almondscale {

// Learns the speed of each service's engines from their prefills, with what other hosts
// learned of them. It answers fleets whose engines nobody described.
class EngineSpeeds {
public:
    void notePrefill(const ServiceName&, const PrefillSample&);
    EngineSpeedModel of(const ServiceName&) const;

    // What this host learned.
    LearnedSpeed localEstimate(const ServiceName&) const;
    // The sum of what all other hosts learned.
    void setRemoteEstimate(const ServiceName&, const LearnedSpeed&);

private:
    using Vector = std::array<double, LearnedSpeed::coefficientCount>;

    // A linear regression that is updated by each sample and starts from the guess.
    struct Regression {
        Regression();

        Vector coefficients {};
        std::array<Vector, LearnedSpeed::coefficientCount> covariance {};
        double samples = 0;
    };

    std::map<ServiceName, Regression> m_local;
    std::map<ServiceName, LearnedSpeed> m_remote;
};

} // namespace almondscale
