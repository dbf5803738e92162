#pragma once

#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/BackendTable.h"
#include "Serving/CrashRecord.h"
#include "Serving/EngineDemand.h"
#include "Serving/FleetTraffic.h"
#include "Serving/LimitStatement.h"
#include "Serving/ManifestIdentity.h"
#include "Serving/SentReport.h"
#include "Serving/ServerSpeed.h"
#include "Serving/SharedTable.h"
#include "Serving/StoredRow.h"
#include "Serving/UsageRecord.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondscale {

using ServiceDemands = std::map<ServiceName, EngineDemand>;

// The open load of one host or of several hosts, and the demand of their callers.
struct PeerWork {
    BackendTable::Loads loads;
    ServiceDemands demand;
    // Prompt prefixes recently sent to engines.
    std::set<SentPrefix> sentPrefixes;
    FleetTraffic traffic;

    PeerWork& operator+=(const PeerWork&);
    // Subtracts loads, demand and traffic. The prefixes stay, since they only state what was sent.
    PeerWork& operator-=(const PeerWork&);
};

// Changed rows of one shared table.
struct TableUpdate {
    SharedTable table = SharedTable::Manifest;
    StoredRows rows;
    // Time since the sender's replica of the table was known to be current.
    Nanoseconds age {};
};

// A table as a host has it.
struct HeldTable {
    SharedTable table = SharedTable::Manifest;
    StoreVersion newest;
    // See RowMirror::digest().
    std::uint64_t digest = 0;
};

// A frame between two hosts. Most frames have only the open loads and changes, which keeps them short enough
// to be sent often.
struct PeerFrame {
    // The frame has the complete state of the sender. The names of host and data centre, the demand, the
    // prefixes, the number of hosts and the request rates are sent only in such frames.
    bool whole = false;
    // The first frame of a link. It names the sender's tables, and the next ones have the rows of those that
    // the receiver lacks.
    bool greeting = false;
    std::vector<HeldTable> held;
    HostId host;
    DataCentre dataCentre;
    std::optional<PeerWork> work;
    std::vector<TableUpdate> tableUpdates;
    // Changed records of servers that terminated while running requests.
    std::vector<CrashRecord> crashes;
    // Servers that announced their shutdown in a response.
    std::vector<BackendLifetime> leaving;
    // Engines that are changing their role.
    std::vector<RoleTransition> roleTransitions;
    // Changed limits of servers.
    std::vector<LimitStatement> limits;
    // A stamp of the sender, and the last one that it received over this link; 0 if there is none. A frame
    // that echoes a stamp was made after the stamp was sent, which proves the age of what the frame says
    // without a common clock.
    std::uint64_t probe = 0;
    std::uint64_t echoedProbe = 0;
    // Time from the arrival of the echoed stamp until the frame was made.
    Nanoseconds echoedProbeAge {};
    // Time since the sender could prove that its manifest was the newest; unset if it never could.
    std::optional<Nanoseconds> manifestProvenAge;
    // What the proof is about, see ManifestProof.h. Hosts that do not know of eras go by the version.
    StoreVersion manifestProvenVersion;
    ManifestIdentity provenManifest;
    // The text of the manifest in force, if that is not the one of the table; sent once over a link.
    std::shared_ptr<const std::string> manifest;
    std::vector<UsageRecord> usage;
    // Records that are in the store.
    std::vector<UsageRecordId> storedUsage;
    // The last report of usage that any host may have sent, in whole frames and when it has changed.
    std::optional<SentReport> usageSent;
    // By the hash of the server's lifetime, see ServerSpeeds::keyOf. Only whole frames have speeds.
    std::unordered_map<std::uint64_t, ServerSpeed> serverSpeeds;
};

// Encodes the frame without the length prefix that PeerLink adds. Times are encoded as ages relative to
// `now`, because hosts have no common monotonic clock.
std::string encodePeerFrame(const PeerFrame&, MonotonicTime now);
// Returns nothing if the bytes are no valid frame.
std::optional<PeerFrame> decodePeerFrame(const std::string& bytes, MonotonicTime now);

} // namespace almondscale
