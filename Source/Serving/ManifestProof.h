#pragma once

#include "Core/MonotonicTime.h"
#include "Core/StoreVersion.h"
#include "Serving/ManifestIdentity.h"

namespace almondscale {

// Evidence that a manifest, or an older one, was the newest of all that the store had acknowledged before a
// time. It stays true when the store loses rows.
struct ManifestProof {
    // On the clock of this host.
    MonotonicTime provenAt {};
    // The version of the table, with the era in which the store was read.
    StoreVersion version;
    ManifestIdentity manifest;
};

} // namespace almondscale
