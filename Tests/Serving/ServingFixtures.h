#pragma once

#include "Serving/BackendTable.h"

namespace almondscale {

inline constexpr MonotonicTime testStart { std::chrono::seconds(100) };
inline const ServiceName model { "model" };

inline BackendRecord engineRecord(
    const std::string& id, EngineRole role, const std::string& dataCentre = "a", std::uint16_t port = 1)
{
    BackendRecord record;
    record.id = BackendId(id);
    record.service = model;
    record.address = Address { "10.0.0." + std::to_string(port), 8080 };
    record.dataCentre = DataCentre(dataCentre);
    record.slots = 64;
    record.role = role;
    return record;
}

} // namespace almondscale
