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

// The stored row that names the host which may issue orders to the engines of one model in one
// data centre.
struct LeaseRow {
    HostId holder;
    Incarnation incarnation;
    FencingToken fencing;
    // Other hosts do not acquire the lease until this time has passed since they first read the
    // current row version.
    Nanoseconds duration {};
    // The holder released the lease and issues no more orders.
    bool released = false;
};

// The key prefix of all lease rows.
constexpr const char* leaseRowPrefix = "lease/";
// The lease key of a system in which one host issues the orders of all engines.
constexpr const char* roleLeaseKey = "lease/roles";

std::string leaseRowKey(const DataCentre&, const ModelName&);
std::string encodeLeaseRow(const LeaseRow&);
// Returns std::nullopt if the text is not a valid lease row.
std::optional<LeaseRow> decodeLeaseRow(const std::string&);

} // namespace almondscale
