#pragma once

#include "Serving/PromptPart.h"
#include "Serving/ServerEnd.h"

#include <set>
#include <vector>

namespace almondscale {

// The terminations that a part of prompts may be to blame for.
struct PartEvidence {
    PromptPartId part;
    // Those since the last answer to a request with the part.
    std::vector<ServerEnd> ends;
    // A request with the part was answered shortly before the first of them.
    bool knownSound = false;
};

// Parts that crash each server that begins to answer a request with all of them. Normally one part; several
// if each of the requests had all of them, so that the terminations cannot tell which one it is.
struct BadParts {
    std::vector<PromptPartId> parts;
    std::set<BackendLifetime> servers;
};

// Terminations that make a part bad. They are counted by step, see ServerEnd::step, and the requests by
// content: one request that is repeated says nothing about its parts.
struct BadPartLimits {
    int ends = 3;
    std::size_t contents = 3;
    // With more terminations, fewer contents are enough.
    int endsOfFewContents = 4;
    std::size_t fewContents = 2;
    // For parts that are known to be sound.
    int endsOfSoundPart = 5;
};

// Finds the parts that explain most terminations by the fewest requests. Parts that merely ran beside them
// are explained by them.
std::vector<BadParts> findBadParts(const std::vector<PartEvidence>&, const BadPartLimits& = {});

} // namespace almondscale
