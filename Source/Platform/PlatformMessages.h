#pragma once

#include "Platform/HostList.h"
#include "Platform/TableRow.h"

#include <cxxtools/serializationinfo.h>
#include <string>
#include <vector>

namespace almondscale {

// The body of a conditional write.
struct WriteMessage {
    std::string value;
    RowVersion expected;
    WriterId writer;
};

// The answer to a write that took effect.
struct WrittenMessage {
    RowVersion version;
};

// The answer to a listing.
struct RowsMessage {
    std::vector<TableRow> rows;
};

void operator<<=(cxxtools::SerializationInfo&, const WriteMessage&);
void operator>>=(const cxxtools::SerializationInfo&, WrittenMessage&);
void operator>>=(const cxxtools::SerializationInfo&, RowsMessage&);
void operator>>=(const cxxtools::SerializationInfo&, TableRow&);
void operator>>=(const cxxtools::SerializationInfo&, HostList&);

} // namespace almondscale
