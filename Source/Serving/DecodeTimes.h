#pragma once

#include "Core/MonotonicTime.h"

#include <map>
#include <string>

namespace almondscale {

// Learns from whole streams how long a request of each route holds a place of an engine
// that decodes.
class DecodeTimes {
public:
    // A stream's first event and end, counted from the send to the engine.
    void noteStream(const std::string& route, Nanoseconds toFirst, Nanoseconds toEnd);
    // Milliseconds for which such a request holds its place, without its wait for one.
    double holdMs(const std::string& route) const;
    // Milliseconds from the send to the first event at an engine with a free place.
    double firstEventMs(const std::string& route) const;

private:
    struct Times {
        double firstEventMs = 0;
        double holdMs = 0;
    };

    std::map<std::string, Times> m_times;
};

} // namespace almondscale
