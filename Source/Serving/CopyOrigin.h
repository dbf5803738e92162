#pragma once

namespace almondscale {

// By whom this host's copy of a table was last confirmed to be current.
enum class CopyOrigin {
    None,
    // A read of its own.
    Store,
    // The host that reads the store for its data centre.
    Reader,
    // Any other host.
    Peer,
};

inline const char* copyOriginName(CopyOrigin origin)
{
    switch (origin) {
    case CopyOrigin::None:
        return "none";
    case CopyOrigin::Store:
        return "store";
    case CopyOrigin::Reader:
        return "reader";
    case CopyOrigin::Peer:
        return "peer";
    }
    return "";
}

} // namespace almondscale
