#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/EngineRole.h"
#include "Core/ServiceName.h"
#include "Serving/BackendId.h"

#include <cstdint>
#include <optional>

namespace almondscale {

// The registration of a backend server.
struct BackendRecord {
    BackendId id;
    ServiceName service;
    Address address;
    DataCentre dataCentre;
    int slots = 0;
    // The server accepts no new requests and is about to terminate.
    bool draining = false;
    // Set for engines only.
    std::optional<EngineRole> role;
    // Start time in milliseconds since 1970. An id with a changed start time is a new server.
    std::int64_t startedAtMs = 0;
    // The platform may reclaim the server at short notice, together with all spot servers of its data centre.
    bool spot = false;

    friend bool operator==(const BackendRecord& a, const BackendRecord& b)
    {
        return a.id == b.id && a.service == b.service && a.address == b.address
            && a.dataCentre == b.dataCentre && a.slots == b.slots && a.draining == b.draining
            && a.role == b.role && a.startedAtMs == b.startedAtMs && a.spot == b.spot;
    }
};

} // namespace almondscale
