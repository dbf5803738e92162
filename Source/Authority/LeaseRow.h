#pragma once

#include "Core/DataCentre.h"
#include "Core/FencingToken.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Core/ModelName.h"
#include "Core/MonotonicTime.h"

#include <optional>
#include <string>

namespace almondscale {

// The row that says which host may give orders to the engines of one model in one data centre.
struct LeaseRow {
    HostId holder;
    Incarnation incarnation;
    FencingToken fencing;
    // Others leave the lease alone for so long after they last saw the row change.
    Nanoseconds duration {};
    // The holder gave the lease up and gives no more orders.
    bool released = false;
};

// All rows of leases begin so.
constexpr const char* leaseRowPrefix = "lease/";
// The row of a system whose engines all take orders from one host.
constexpr const char* roleLeaseKey = "lease/roles";

std::string leaseRowKey(const DataCentre&, const ModelName&);
std::string encodeLeaseRow(const LeaseRow&);
std::optional<LeaseRow> decodeLeaseRow(const std::string&);

} // namespace almondscale
