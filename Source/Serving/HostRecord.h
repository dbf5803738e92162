#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Serving/StoredRow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

// Where every host serves its metrics and its state; deploy/system.toml names the port too.
inline constexpr std::uint16_t hostStatusPort = 9464;
inline Address hostStatusAddress(const HostRecord& host) { return { host.peers.ip, hostStatusPort }; }

std::string encodeHostRecord(const HostRecord&);
std::optional<HostRecord> decodeHostRecord(const std::string&);
// The hosts of the rows that can be read.
std::vector<HostRecord> hostsIn(const StoredRows&);

// The order in which the hosts of a data centre are asked for news: the strongest first.
bool ranksBefore(const HostRecord&, const HostRecord&);

} // namespace almondscale
