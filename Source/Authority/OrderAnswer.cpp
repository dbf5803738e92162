#include "Authority/OrderAnswer.h"

namespace almondscale {

const char* orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::None:
        return "none";
    case OrderResult::CarriedOut:
        return "carried_out";
    case OrderResult::LostAuthority:
        return "lost_authority";
    case OrderResult::Expired:
        return "expired";
    case OrderResult::NotRecorded:
        break;
    }
    return "not_recorded";
}

} // namespace almondscale
