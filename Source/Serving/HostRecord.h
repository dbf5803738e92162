#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <optional>
#include <string>

namespace almondscale {

// An entry host as it tells the others of itself.
struct HostRecord {
    HostId id;
    DataCentre dataCentre;
    // Where it listens for other hosts.
    Address peers;
    // How much it can carry, to choose who passes news on to the others.
    double strength = 0;
};

std::string encodeHostRecord(const HostRecord&);
std::optional<HostRecord> decodeHostRecord(const std::string&);

// The order in which the hosts of a data centre are asked for news: the strongest first.
bool ranksBefore(const HostRecord&, const HostRecord&);

} // namespace almondscale
