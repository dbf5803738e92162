#pragma once

#include "Http/CallFailure.h"
#include "Http/HttpResponse.h"

#include <optional>

namespace almondscale {

// The whole answer to a call, or why there is none.
struct CallResult {
    std::optional<HttpResponse> response;
    CallFailure failure = CallFailure::AnswerLost;

    bool ok() const { return response.has_value(); }
};

} // namespace almondscale
