#pragma once

#include "QuarantineKeeper.h"

#include <functional>

namespace almondscale {

// What a host needs to reach the keeper of its data centre.
struct QuarantineHooks {
    // The host that keeps the lanes now.
    std::function<HostId()> keeper;
    // Sends a ticket to a host and gives its answer, or nothing if there is none.
    std::function<std::optional<std::string>(const HostId&, const std::string& ticket)> send;
};

// Lets suspects of this host run alone, through the keeper of the data centre.
class Quarantine {
public:
    Quarantine(QuarantineKeeper&, HostId own, Clock, QuarantineHooks);

    // One question to the keeper; to be repeated while it gives nothing.
    std::optional<EngineId> ask(const QuarantineTicket&);
    void finish(const QuarantineTicket&);
    // Answers a peer on the peers' path.
    std::optional<std::string> answerPeer(const std::string& body);
    // Keeps engines free if this host is the keeper.
    void tick();

private:
    QuarantineKeeper& m_keeper;
    HostId m_own;
    Clock m_clock;
    QuarantineHooks m_hooks;
};

} // namespace almondscale
