#pragma once

#include "Core/RowVersion.h"
#include "Core/WriterId.h"

#include <string>

namespace almondscale {

// A row of the platform's table.
struct TableRow {
    std::string key;
    std::string value;
    RowVersion version;
    // Identifies the write that created this version.
    WriterId writer;
};

} // namespace almondscale
