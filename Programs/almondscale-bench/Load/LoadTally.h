#pragma once

#include "Load/CallOutcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondscale {

// Adds up what the callers of a run got.
class LoadTally {
public:
    void onOutcome(const CallOutcome&);

    std::int64_t sent() const { return m_complete + m_refused + m_failed; }
    std::int64_t complete() const { return m_complete; }
    std::int64_t inTime() const { return m_inTime; }
    std::int64_t refused() const { return m_refused; }
    std::int64_t failed() const { return m_failed; }
    // How often each kind of refusal came.
    const std::map<std::string, std::int64_t>& refusals() const { return m_refusals; }
    const std::vector<std::string>& faults() const { return m_faults; }
    // The time to the first token that this share of the answers kept; 0 without answers.
    Nanoseconds firstToken(double share) const;

private:
    std::int64_t m_complete = 0;
    std::int64_t m_inTime = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_failed = 0;
    std::map<std::string, std::int64_t> m_refusals;
    std::vector<std::string> m_faults;
    std::vector<Nanoseconds> m_firstTokens;
};

} // namespace almondscale
