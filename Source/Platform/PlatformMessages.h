#pragma once

#include "Platform/HostList.h"
#include "Platform/TableRow.h"

#include <cxxtools/serializationinfo.h>
#include <string>
#include <vector>

namespace almondscale {

// The request body of a conditional write.
struct WriteRequest {
    std::string value;
    RowVersion expected;
    WriterId writer;
};

// The response body of a write that was applied.
struct WriteResponse {
    RowVersion version;
};

// The response body of a listing by key prefix.
struct ListResponse {
    std::vector<TableRow> rows;
};

void operator<<=(cxxtools::SerializationInfo&, const WriteRequest&);
void operator>>=(const cxxtools::SerializationInfo&, WriteResponse&);
void operator>>=(const cxxtools::SerializationInfo&, ListResponse&);
void operator>>=(const cxxtools::SerializationInfo&, TableRow&);
void operator>>=(const cxxtools::SerializationInfo&, HostList&);

} // namespace almondscale
