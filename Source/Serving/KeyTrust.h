#pragma once

namespace almondscale {

// What the age of this host's manifest allows with callers' keys.
struct KeyTrust {
    // Requests with a key of the manifest may run.
    bool serves = true;
    // A key that the manifest lacks is wrong; otherwise it may be in a newer manifest.
    bool denies = true;
};

} // namespace almondscale
