#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineRole.h"
#include "Core/ServiceName.h"
#include "Serving/BackendId.h"

#include <cstdint>
#include <optional>

namespace almondscale {

// What a backend server says of itself where it registers.
struct BackendRecord {
    BackendId id;
    ServiceName service;
    Address address;
    DataCentre dataCentre;
    int slots = 0;
    // It takes no new requests and will leave.
    bool draining = false;
    // Only engines have a role.
    std::optional<EngineRole> role;
    // When it started, in milliseconds since 1970; an id whose start changes is a new server.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const BackendRecord& a, const BackendRecord& b)
    {
        return a.id == b.id && a.service == b.service && a.address == b.address
            && a.dataCentre == b.dataCentre && a.slots == b.slots && a.draining == b.draining
            && a.role == b.role && a.startedAtMs == b.startedAtMs;
    }
};

} // namespace almondscale
