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

// The registration of an entry host.
struct HostRecord {
    HostId id;
    DataCentre dataCentre;
    // The address on which it accepts connections of other hosts.
    Address peerAddress;
    // Relative capacity; used to choose the host that relays updates to the others.
    double strength = 0;
};

// The port of every host's metrics and status pages; also configured in deploy/system.toml.
inline constexpr std::uint16_t hostStatusPort = 9464;
inline Address hostStatusAddress(const HostRecord& host) { return { host.peerAddress.ip, hostStatusPort }; }

std::string encodeHostRecord(const HostRecord&);
std::optional<HostRecord> decodeHostRecord(const std::string&);
// The hosts of all rows that can be decoded.
std::vector<HostRecord> decodeHosts(const StoredRows&);

// The order in which the hosts of a data centre are asked for updates: highest strength first.
bool ranksBefore(const HostRecord&, const HostRecord&);

} // namespace almondscale
