#pragma once

#include "Admission/DistributedRateLimiter.h"
#include "Core/Address.h"
#include "PeriodicDuty.h"
#include "RulesHolder.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// What the limits need of the host.
struct LimitsHooks {
    // All hosts, this one included; those that are cut off stay in the list.
    std::function<std::vector<LimitPeer>()> peers;
    // Delivers messages to one host; false if it could not be reached.
    std::function<bool(const HostId&, const std::string& messages)> send;
};

// Holds organisations to their limits over all hosts; safe for use by many threads.
class LimitsDuty {
public:
    LimitsDuty(const HostId& own, const RulesHolder&, Clock, LimitsHooks);

    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }

    // Nothing if the request may pass; otherwise when the next one may.
    std::optional<MonotonicTime> admit(const Organisation&);
    // Takes in the messages of a peer; false if they are malformed.
    bool onMessages(const std::string&);
    std::size_t exchanged() const;

private:
    void exchange();

    Clock m_clock;
    LimitsHooks m_hooks;
    mutable std::mutex m_mutex;
    DistributedRateLimiter m_share;
    PeriodicDuty m_duty;
};

// Messages about limits as JSON, and back.
std::string encodeLimitMessages(const std::vector<LimitMessage>&);
std::optional<std::vector<LimitMessage>> decodeLimitMessages(const std::string&);

} // namespace almondscale
