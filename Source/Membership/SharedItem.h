#pragma once

#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Membership/ItemScope.h"

#include <cstdint>
#include <string>

namespace almondscale {

// A versioned item that a host shares with its peers. An empty value is a tombstone: the item was removed.
struct SharedItem {
    HostId host;
    Incarnation incarnation;
    std::string key;
    // Incremented for each item that the host publishes or removes.
    std::uint64_t version = 0;
    ItemScope scope = ItemScope::Everywhere;
    std::string value;
};

} // namespace almondscale
