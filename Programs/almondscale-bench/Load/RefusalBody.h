#pragma once

#include <optional>
#include <string>

namespace almondscale {

// A refusal as a caller reads it.
struct RefusalBody {
    std::string kind;
    // "no" or "unknown".
    std::string run;
};

// Nothing if the body is not a well-formed refusal.
std::optional<RefusalBody> refusalFromBody(const std::string&);

} // namespace almondscale
