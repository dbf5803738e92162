#pragma once

#include "Core/ServiceName.h"

#include <array>
#include <map>

namespace almondscale {

// Learns how the time between the events of a stream depends on the number of streams that an engine runs,
// from completed streams of this host.
class DecodePace {
public:
    // A stream of an engine that ran so many streams when it began. `eventMs` is the mean time between its
    // events, divided by the factor of the engine.
    void noteStream(const ServiceName&, double running, double eventMs);
    // The expected time between events on the typical engine; 0 before the first stream.
    double eventMs(const ServiceName&, double running) const;
    // Milliseconds that each further stream adds to the time between events.
    double msPerStream(const ServiceName&) const;

private:
    // A recursive least-squares regression of a constant and a slope.
    struct Regression {
        std::array<double, 2> coefficients {};
        std::array<std::array<double, 2>, 2> covariance {};
    };

    std::map<ServiceName, Regression> m_regressions;
};

} // namespace almondscale
