#pragma once

#include "Authority/Lease.h"
#include "Serving/BackendTable.h"
#include "Serving/CrashRecords.h"
#include "Serving/HostRecord.h"
#include "Serving/RouteTable.h"
#include "Serving/RowMirror.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The hosts in this host's copy of the table of hosts.
std::vector<HostRecord> enrolledHosts(const RowMirror&);

// The current state of a host as JSON pages for the command-line tool.
class StatusPages {
public:
    // State of the process that the tables do not hold.
    struct ProcessState {
        bool ready = false;
        bool reader = false;
        int openRequests = 0;
        // Time since the manifest was proven to be the newest, where that matters.
        std::optional<Nanoseconds> proofAge = {};
    };

    StatusPages(const HostRecord& self, const RouteTable&, const BackendTable&, const RowMirror&,
        const Lease&, const CrashRecords&);

    // The page at /status, /hosts, /servers, /leases or /suspects; no value for any other path.
    std::optional<std::string> page(const std::string& path, const ProcessState&, MonotonicTime now) const;

private:
    std::string status(const ProcessState&, MonotonicTime now) const;
    std::string hosts() const;
    std::string servers(MonotonicTime now) const;
    std::string leases(MonotonicTime now) const;
    std::string suspects(MonotonicTime now) const;

    const HostRecord& m_self;
    const RouteTable& m_routes;
    const BackendTable& m_backends;
    const RowMirror& m_mirror;
    const Lease& m_lease;
    const CrashRecords& m_crashes;
};

} // namespace almondscale
