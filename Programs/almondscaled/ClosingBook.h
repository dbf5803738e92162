#pragma once

#include "Core/Deadline.h"
#include "Core/EngineId.h"
#include "Core/HostId.h"
#include "Core/OrderNumber.h"
#include "CrashGuard.h"
#include "EngineDirectory.h"
#include "Membership/MembershipService.h"

#include <map>
#include <mutex>

namespace almondscale {

// Closes engines that other hosts announce an order for, and acknowledges that this host sends them no more.
class ClosingBook {
public:
    static constexpr const char* closingPrefix = "closing/";
    static constexpr const char* acknowledgedPrefix = "closed/";

    ClosingBook(MembershipService&, EngineDirectory&, const CrashGuard&, Clock);

    // The holder's side: tells all hosts, withdraws it, and asks whether all know.
    void announce(const EngineId&, OrderNumber, Deadline);
    void withdraw(const EngineId&);
    bool acknowledgedByAll(const EngineId&, OrderNumber) const;

    // Every host's side: takes over what is announced; call it every 50 ms.
    void tick();

private:
    struct Closing {
        OrderNumber order;
        Deadline ends;
        std::uint64_t item = 0;
        bool acknowledged = false;
    };

    void takeAnnouncements(MonotonicTime now);
    void acknowledge();

    MembershipService& m_membership;
    EngineDirectory& m_engines;
    const CrashGuard& m_guard;
    Clock m_clock;
    std::mutex m_mutex;
    std::map<EngineId, Closing> m_closings;
};

} // namespace almondscale
