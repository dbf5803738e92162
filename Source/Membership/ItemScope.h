#pragma once

namespace almondscale {

// Which hosts receive a shared item.
enum class ItemScope {
    // The hosts of the publisher's data centre.
    DataCentre,
    // All hosts.
    Everywhere,
};

} // namespace almondscale
