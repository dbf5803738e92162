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

// Prints the rows that the member of a JSON text holds as a table; the text itself if
// JSON is wanted or the member is no array.
void printRows(const std::string& text, const char* member, const std::vector<Column>& columns, bool asJson);

} // namespace almondscale
