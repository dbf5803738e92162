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
    LearnedSpeed told(const ServiceName&) const;
    // The sum of what all other hosts learned.
    void setOthers(const ServiceName&, const LearnedSpeed&);

private:
    using Vector = std::array<double, LearnedSpeed::figures>;

    // A linear regression that is updated by each sample and starts from the guess.
    struct Regression {
        Regression();

        Vector figures {};
        std::array<Vector, LearnedSpeed::figures> covariance {};
        double samples = 0;
    };

    std::map<ServiceName, Regression> m_own;
    std::map<ServiceName, LearnedSpeed> m_others;
};

} // namespace almondscale
