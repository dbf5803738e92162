#pragma once

#include "Core/BookingKey.h"
#include "Load/CallOutcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondscale {

// Compares what callers were told about their bookings with what the service ran.
class BookingAudit {
public:
    // What the comparison found.
    struct Verdict {
        std::int64_t sent = 0;
        std::int64_t run = 0;
        // Keys that ran more than once.
        std::int64_t doubled = 0;
        // Keys that were answered as run and did not.
        std::int64_t lost = 0;
        // Keys that all answers said had not run and that did.
        std::int64_t untrue = 0;
        std::vector<std::string> faults;
    };

    void onOutcome(const BookingKey&, const CallOutcome&);
    Verdict judge(const std::map<std::string, std::int64_t>& runs) const;

private:
    struct Told {
        bool ran = false;
        bool unknown = false;
    };

    std::map<std::string, Told> m_told;
};

} // namespace almondscale
