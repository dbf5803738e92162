#pragma once

#include "DemandCounters.h"
#include "PoolAuthority.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondscale {

// Runs the authority of every pool of this data centre and shares this host's demand with the holders.
class AuthorityDuty {
public:
    // Only a host that is a candidate competes for leases, so that the platform's reads do not grow with
    // the hosts.
    AuthorityDuty(const PoolAuthorityParts&, const DemandCounters&, std::function<bool()> isCandidate);

    void start() { m_duty.start(); }
    // Ends orders in hand and gives all leases up.
    void stop();
    // An operator's order; the error says why this host cannot give it.
    std::error_code order(const EngineId&, OrderKind, const std::string& value);
    std::string json() const;

private:
    void step();
    void followRules();
    void shareDemand();

    PoolAuthorityParts m_parts;
    const DemandCounters& m_demand;
    std::function<bool()> m_isCandidate;
    mutable std::mutex m_mutex;
    std::map<ModelName, std::unique_ptr<PoolAuthority>> m_pools;
    PeriodicDuty m_duty;
};

} // namespace almondscale
