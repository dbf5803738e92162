#pragma once

#include "Core/DataCentre.h"
#include "Serving/BackendTable.h"

#include <vector>

namespace almondscale {

// Tells when the callers of this data centre are better served by another one. It
// answers a data centre that is cut off: its own servers lack the prompt parts that the
// others keep, and it may have none for a service. What still comes is served here.
class ServiceReachability {
public:
    ServiceReachability(const BackendTable&, DataCentre);

    // Servers of other data centres that are missed; empty while callers are well served
    // here. Either none of a service can be reached, and there is none here, or no other
    // data centre can be reached at all. Some data centre never misses any: the one that
    // has the service, and the largest, so that callers always have one to go to.
    std::vector<const Backend*> unreachableServers() const;

private:
    bool isPartitioned() const;
    std::vector<const Backend*> remoteServers() const;
    std::vector<const Backend*> serversOfUnservedServices() const;

    const BackendTable& m_backends;
    DataCentre m_dataCentre;
};

} // namespace almondscale
