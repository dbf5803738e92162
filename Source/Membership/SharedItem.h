#pragma once

#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Membership/ItemScope.h"

#include <cstdint>
#include <string>

namespace almondscale {

// One versioned item that a host shares with its peers; an empty value stands for a removed item.
struct SharedItem {
    HostId host;
    Incarnation incarnation;
    std::string key;
    // Rises with each item that the host publishes.
    std::uint64_t version = 0;
    ItemScope scope = ItemScope::Everywhere;
    std::string value;
};

} // namespace almondscale
