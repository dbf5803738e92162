#pragma once

#include "Core/ErrorKind.h"

namespace almondscale {

// Whether a refused or failed request may have been executed.
enum class ExecutionStatus {
    NotRun,
    Unknown,
};

// How an error of one kind is reported to a caller.
struct ErrorInfo {
    ErrorKind kind;
    const char* name;
    int httpStatus;
    ExecutionStatus execution;
    // Whether it is useful to retry the same request later.
    bool retryable;
    const char* message;
};

const ErrorInfo& errorInfo(ErrorKind);

} // namespace almondscale
