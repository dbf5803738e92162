#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <string>
#include <vector>

namespace almondscale {

// One entry host on the platform's list.
struct ListedHost {
    HostId id;
    DataCentre dataCentre;
    Address controlAddress;
    bool leaving = false;
};

// One backend server on the platform's list.
struct ListedBackend {
    std::string id;
    Address address;
    bool leaving = false;
};

// The platform's list of hosts, which lags behind.
struct HostList {
    std::vector<ListedHost> hosts;
    std::vector<ListedBackend> backends;
};

} // namespace almondscale
