#pragma once

#include "Core/ServiceName.h"
#include "Serving/LearnedSpeed.h"
#include "Serving/PrefillSample.h"

#include <map>

namespace almondscale {

// Learns the speed of each service's engines from measured prefills of this host and the estimates of other
// hosts, so that engines need no configured speed.
class EngineSpeeds {
public:
    void notePrefill(const ServiceName&, const PrefillSample&);
    EngineSpeedModel speedOf(const ServiceName&) const;

    // The estimate of this host, weighted by its samples.
    LearnedSpeed localEstimate(const ServiceName&) const;
    // The sum of the estimates of all other hosts.
    void setRemoteEstimate(const ServiceName&, const LearnedSpeed&);

private:
    using Vector = std::array<double, LearnedSpeed::coefficientCount>;

    // A recursive least-squares regression that starts from the default model.
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
