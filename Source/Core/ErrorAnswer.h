#pragma once

#include "Core/ErrorKind.h"

namespace almondscale {

// What is known about whether a refused or failed request ran.
enum class RunKnowledge {
    NotRun,
    Unknown,
};

// How an error kind is answered to a caller.
struct ErrorAnswer {
    ErrorKind kind;
    const char* word;
    int httpStatus;
    RunKnowledge run;
    // Whether the caller may usefully send the same request again later.
    bool retryable;
    const char* message;
};

// The row of the table for a kind.
const ErrorAnswer& errorAnswer(ErrorKind);

} // namespace almondscale
