#include <Admission/DistributedRateLimiter.h>
#include <Authority/Lease.h>
#include <Bookings/BookingRecorder.h>
#include <Dispatch/RetryBudget.h>
#include <Membership/Membership.h>
#include <Roles/RolePolicy.h>
#include <Rules/RulesParser.h>

#include <iostream>

using namespace almondscale;

// Uses a part of each library, as a program outside the project would.
int main()
{
    const ParsedRules rules = parseRules("model m context-tokens=100 # outside\n", RulesVersion(1));
    const MonotonicTime now {};
    RetryBudget budget;
    budget.onRequest(now);
    Lease lease("lease/dc/m", HostId("a"), Incarnation(1), LeaseSettings {});
    DistributedRateLimiter limits(HostId("a"), [](const Organisation&) { return std::optional<double>(); });
    RolePolicy policy(RoleSettings {}, RoleHooks {});
    const bool works = rules.ok() && budget.tryRetry(now) && lease.nextCall(now).has_value()
        && !limits.admit(Organisation("o"), now) && policy.decide(now).empty();
    std::cout << (works ? "works" : "fails") << "\n";
    return works ? 0 : 1;
}
