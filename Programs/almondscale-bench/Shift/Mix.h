#pragma once

#include "Roles/Demand.h"
#include "Shift/Fleet.h"
#include "Shift/MixSegment.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// What callers ask for over time. Segments of one model follow each other.
struct Mix {
    std::string name;
    std::vector<MixSegment> segments;

    Nanoseconds length() const;
    int models() const;
};

// The size of a segment's requests as the engines meet them, with a warm prefix cache.
Demand segmentDemand(const MixSegment&);

// One line per segment: seconds, requests per second, prompt tokens, output tokens,
// share of shared prefix, deadline in ms and, optionally, the model. "#" begins a comment.
// Nothing, with an error that names the line, if a line is wrong.
std::optional<Mix> readMix(const std::string& text, std::string& error);

// The mixes that come with the program; nothing for an unknown name.
std::optional<Mix> builtInMix(const std::string& name);
std::vector<std::string> builtInMixNames();

// Scales the rates so that, averaged over time, the model's engines are asked for
// the load as a share of what they give with the best roles of each moment.
void scaleLoad(Mix&, const Fleet&, double load);

} // namespace almondscale
