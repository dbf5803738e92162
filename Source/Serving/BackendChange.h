#pragma once

#include "Serving/BackendRecord.h"

#include <optional>

namespace almondscale {

// A registration that was written or removed.
struct BackendChange {
    BackendId id;
    // Unset if the entry was removed or cannot be decoded.
    std::optional<BackendRecord> record;
    bool unreadable = false;
};

} // namespace almondscale
