#pragma once

#include "Platform/HostList.h"
#include "Platform/TableRow.h"

#include <cxxtools/serializationinfo.h>
#include <string>
#include <vector>

namespace almondscale {

// The request body of a conditional write.
struct WriteMessage {
    std::string value;
    RowVersion expected;
    WriterId writer;
};

// The response body of a write that was applied.
struct WrittenMessage {
    RowVersion version;
};

// The response body of a listing by key prefix.
struct RowsMessage {
    std::vector<TableRow> rows;
};

void operator<<=(cxxtools::SerializationInfo&, const WriteMessage&);
void operator>>=(const cxxtools::SerializationInfo&, WrittenMessage&);
void operator>>=(const cxxtools::SerializationInfo&, RowsMessage&);
void operator>>=(const cxxtools::SerializationInfo&, TableRow&);
void operator>>=(const cxxtools::SerializationInfo&, HostList&);

} // namespace almondscale
