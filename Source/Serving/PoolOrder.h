#pragma once

#include "Core/DataCentre.h"
#include "Core/ServiceName.h"

namespace almondscale {

// An order for the number of servers of one kind that a service is to have in a data centre.
struct PoolOrder {
    ServiceName service;
    DataCentre dataCentre;
    int servers = 0;
    // For spot servers rather than reserved ones.
    bool spot = false;
};

} // namespace almondscale
