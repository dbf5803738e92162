#pragma once

#include "Core/RowVersion.h"
#include "Core/WriterId.h"
#include "Platform/TableRow.h"
#include "Platform/WriteResult.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondscale::standin {

// The rows of the stand-in's table service, in memory.
class TableStore {
public:
    std::optional<TableRow> read(const std::string& key) const;
    std::vector<TableRow> list(const std::string& prefix) const;
    // Applied or Conflict.
    WriteResult compareAndSet(
        const std::string& key, const std::string& value, RowVersion expected, const WriterId& writer);

private:
    std::map<std::string, TableRow> m_rows;
};

} // namespace almondscale::standin
