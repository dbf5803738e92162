#pragma once

#include "Http/Json.h"

#include <string>
#include <vector>

namespace almondscale {

// One column of a printed table: its title and the member that it shows.
struct Column {
    const char* title;
    const char* member;
};

// The array of objects as a table with aligned columns.
std::string formatTable(const JsonValue& rows, const std::vector<Column>& columns);

} // namespace almondscale
