#pragma once

#include "Core/RowVersion.h"
#include "Core/WriterId.h"

#include <string>

namespace almondscale {

// One row of the platform's table.
struct TableRow {
    std::string key;
    std::string value;
    RowVersion version;
    // The write that made this version.
    WriterId writer;
};

} // namespace almondscale
