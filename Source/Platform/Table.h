#pragma once

#include "Core/Result.h"
#include "Platform/TableRow.h"
#include "Platform/WriteResult.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The platform's transactional table, as a set of callbacks that tests can replace.
struct Table {
    // Reads a row: std::nullopt if it is absent, an error if the table did not respond.
    std::function<Result<std::optional<TableRow>>(const std::string& key)> read;

    // Lists all rows whose key starts with the prefix, in key order.
    std::function<Result<std::vector<TableRow>>(const std::string& prefix)> list;

    // Writes if the row has the expected version; version 0 inserts a row that is absent.
    std::function<WriteResult(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer)>
        compareAndSet;
};

} // namespace almondscale
