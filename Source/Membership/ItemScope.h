#pragma once

namespace almondscale {

// How far an item of shared state travels.
enum class ItemScope {
    // To the hosts of the publisher's data centre.
    DataCentre,
    Everywhere,
};

} // namespace almondscale
