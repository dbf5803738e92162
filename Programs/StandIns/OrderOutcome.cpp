#include "StandIns/OrderOutcome.h"

namespace almondscale::standin {

const char* orderOutcomeWord(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::StaleFencing:
        return "stale_fencing";
    case OrderOutcome::Busy:
        return "busy";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::Down:
        return "down";
    }
    return "unknown";
}

} // namespace almondscale::standin
