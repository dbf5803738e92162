#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/ServiceName.h"

#include <string>
#include <vector>

namespace almondscale {

// A call that may not be repeated: a method and the beginning of a path.
struct BookingCall {
    std::string method;
    std::string pathPrefix;
};

// One instance of a plain service.
struct ServiceInstance {
    DataCentre dataCentre;
    Address address;
};

// The rule that names one plain service.
struct ServiceRule {
    ServiceName service;
    std::vector<ServiceInstance> instances;
    std::vector<BookingCall> bookingCalls;
};

} // namespace almondscale
