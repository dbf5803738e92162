#pragma once

#include "Core/HostId.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// One item that must be known at the other hosts before its sender goes on.
struct PushedItem {
    std::string key;
    std::string value;
};

// What a push needs of the host.
struct PeerPushHooks {
    // The other live hosts; any of them may send work to any engine.
    std::function<std::vector<HostId>()> peers;
    // Delivers a text to one host and waits for its answer or a timeout.
    std::function<bool(const HostId&, const std::string& text)> send;
    // Takes in an item that a host pushed.
    std::function<void(const HostId&, const PushedItem&)> take;
};

// Tells the other hosts something at once and waits until each has it. Heartbeats carry the same
// items, later, to whoever could not be reached.
class PeerPush {
public:
    PeerPush(HostId own, PeerPushHooks);

    void push(const std::vector<PushedItem>&) const;
    // Answers a peer's push; nothing if it is malformed.
    std::optional<std::string> onPush(const std::string& text) const;

private:
    HostId m_own;
    PeerPushHooks m_hooks;
};

} // namespace almondscale
