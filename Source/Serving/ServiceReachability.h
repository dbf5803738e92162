#pragma once

#include "Core/DataCentre.h"
#include "Serving/BackendTable.h"

#include <vector>

namespace almondscale {

// Determines whether callers are served better by another data centre. In a network partition, this data
// centre lacks the prefixes cached by the others and may have no server of a service. Requests that still
// arrive are served here.
class ServiceReachability {
public:
    ServiceReachability(const BackendTable&, DataCentre);

    // Servers of other data centres that cannot be reached and are needed here; empty while callers are
    // served well. They are needed if a service has no other servers, or if no other data centre can be
    // reached at all. A data centre that has servers of the service, and in the second case the largest one,
    // never reports any, so that callers always have one to go to.
    std::vector<const Backend*> unreachableServers() const;

private:
    bool isPartitioned() const;
    std::vector<const Backend*> remoteServers() const;
    std::vector<const Backend*> serversOfUnservedServices() const;

    const BackendTable& m_backends;
    DataCentre m_dataCentre;
};

} // namespace almondscale
