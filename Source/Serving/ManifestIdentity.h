#pragma once

#include <cstdint>

namespace almondscale {

// Identifies a manifest across eras of the store: its version as the operators count it, and a hash of its
// text, since two texts may have the same version. Version 0 is no manifest.
struct ManifestIdentity {
    std::int64_t version = 0;
    std::uint64_t text = 0;

    friend bool operator==(const ManifestIdentity& a, const ManifestIdentity& b)
    {
        return a.version == b.version && a.text == b.text;
    }
};

} // namespace almondscale
