#pragma once

#include "Admission/RequestId.h"
#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// A request that is refused before it has run, to be answered immediately.
struct AdmissionRefusal {
    RequestId id;
    ErrorKind kind = ErrorKind::DeadlineUnreachable;
    // The earliest time at which a retry is worthwhile.
    MonotonicTime retryAt;
};

} // namespace almondscale
