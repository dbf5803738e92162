#pragma once

#include "Http/CallFailure.h"
#include "Http/HttpResponse.h"

#include <optional>

namespace almondscale {

// The response to a call; without one, failure is set.
struct CallResult {
    std::optional<HttpResponse> response;
    CallFailure failure = CallFailure::AnswerLost;

    bool ok() const { return response.has_value(); }
};

} // namespace almondscale
