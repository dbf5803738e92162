#pragma once

#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/BackendTable.h"
#include "Serving/CrashRecord.h"
#include "Serving/EngineDemand.h"
#include "Serving/SharedTable.h"
#include "Serving/StoredRow.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondscale {

using ServiceDemands = std::map<ServiceName, EngineDemand>;

// The work that one host or a whole data centre has open, and what callers bring it.
struct PeerWork {
    BackendTable::Loads loads;
    ServiceDemands demand;
    // Prompt parts that were sent to engines just now.
    std::set<SentPrefix> parts;

    PeerWork& operator+=(const PeerWork&);
    // Takes back what was added; the parts stay, which say no more than that they were sent.
    PeerWork& operator-=(const PeerWork&);
};

// New rows of one table.
struct PeerNews {
    SharedTable table = SharedTable::Manifest;
    StoredRows rows;
    Nanoseconds age {};
};

// One frame between two hosts. Most tell the open loads only, so that they can come often.
struct PeerFrame {
    // Has all of what the host tells; names, demand and parts are in such frames only.
    bool whole = false;
    HostId host;
    DataCentre dataCentre;
    std::optional<PeerWork> work;
    std::vector<PeerNews> news;
    // Changed records of servers that ended under requests.
    std::vector<CrashRecord> crashes;
    // Servers that said in an answer that they leave.
    std::vector<BackendLifetime> leaving;
    // Engines that change their role.
    std::vector<RoleTransition> turns;
};

// The frame's bytes without a length in front; ages in it are counted until `now`.
std::string encodePeerFrame(const PeerFrame&, MonotonicTime now);
std::optional<PeerFrame> decodePeerFrame(const std::string& bytes, MonotonicTime now);

} // namespace almondscale
