#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/ServiceName.h"

#include <string>
#include <vector>

namespace almondscale {

// Matches requests that must not be retried, by method and path prefix.
struct BookingCall {
    std::string method;
    std::string pathPrefix;
};

// One backend server of a plain service.
struct ServiceInstance {
    DataCentre dataCentre;
    Address address;
};

// A `service` rule with its `instance` and `booking` rules.
struct ServiceRule {
    ServiceName service;
    std::vector<ServiceInstance> instances;
    std::vector<BookingCall> bookingCalls;
};

} // namespace almondscale
