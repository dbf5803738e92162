#pragma once

#include "Admission/RequestId.h"
#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// A request that is given up before it ran, to be answered at once.
struct AdmissionRefusal {
    RequestId id;
    ErrorKind kind = ErrorKind::DeadlineUnreachable;
    // When the caller may usefully try again.
    MonotonicTime retryAt;
};

} // namespace almondscale
