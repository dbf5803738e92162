#pragma once

#include "Core/MonotonicTime.h"

#include <map>
#include <string>

namespace almondscale {

// Estimates, per route, how long a request occupies a slot of a decode engine, from completed streams.
class DecodeTimes {
public:
    // Times of the first event and of the end of a stream, measured from the send to the engine.
    void noteStream(const std::string& route, Nanoseconds toFirst, Nanoseconds toEnd);
    // Milliseconds for which a request occupies its slot, without the wait for one.
    double holdMs(const std::string& route) const;
    // Milliseconds from the send to the first event at an engine with a free slot.
    double firstEventMs(const std::string& route) const;

private:
    struct Times {
        double firstEventMs = 0;
        double holdMs = 0;
    };

    std::map<std::string, Times> m_times;
};

} // namespace almondscale
