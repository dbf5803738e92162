#pragma once

#include "Core/Result.h"
#include "Platform/TableRow.h"
#include "Platform/WriteResult.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The platform's transactional table, as hooks so that a fake can stand in.
struct Table {
    // The row, nothing if it is absent, or an error if the table did not answer.
    std::function<Result<std::optional<TableRow>>(const std::string& key)> read;

    // All rows whose key begins with the prefix, in key order.
    std::function<Result<std::vector<TableRow>>(const std::string& prefix)> list;

    // Writes if the row still has the expected version; version 0 inserts if absent.
    std::function<WriteResult(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer)>
        compareAndSet;
};

} // namespace almondscale
