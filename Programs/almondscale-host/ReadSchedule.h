#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/SharedTable.h"
#include "Serving/TableBounds.h"

namespace almondscale {

// When a host reads a table.
struct ReadSchedule {
    // How long the store waits for a change before it responds to a reader.
    Nanoseconds longPollTime;
    // Delay between two reads of a reader.
    Nanoseconds interval;
    // A host that is not a reader reads the store when its copy is older than this.
    Nanoseconds maxAge;
    // See ReadPacer.
    Nanoseconds minAnswerTime;
    Nanoseconds minRetryDelay;
};

// A host whose copy gets too old, and whose first two reads get no response, has the change from the third
// one within the bound.
ReadSchedule readSchedule(SharedTable, const TableBounds&);

} // namespace almondscale
