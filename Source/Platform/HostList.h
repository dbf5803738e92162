#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <string>
#include <vector>

namespace almondscale {

// A host in the platform's list.
struct ListedHost {
    HostId id;
    DataCentre dataCentre;
    Address controlAddress;
    bool leaving = false;
};

// A backend server in the platform's list.
struct ListedBackend {
    std::string id;
    Address address;
    bool leaving = false;
};

// The hosts and backend servers that the platform lists. The list may be out of date.
struct HostList {
    std::vector<ListedHost> hosts;
    std::vector<ListedBackend> backends;
};

} // namespace almondscale
