#pragma once

#include "Core/ErrorKind.h"

namespace almondscale {

// What is known about whether a refused or failed request ran.
enum class ExecutionStatus {
    NotRun,
    Unknown,
};

// How an error kind is answered to a caller.
struct ErrorInfo {
    ErrorKind kind;
    const char* name;
    int httpStatus;
    ExecutionStatus execution;
    // Whether the caller may usefully send the same request again later.
    bool retryable;
    const char* message;
};

// The row of the table for a kind.
const ErrorInfo& errorInfo(ErrorKind);

} // namespace almondscale
