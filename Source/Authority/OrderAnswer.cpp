#include "Authority/OrderAnswer.h"

namespace almondscale {

const char* orderEndWord(OrderEnd end)
{
    switch (end) {
    case OrderEnd::None:
        return "none";
    case OrderEnd::CarriedOut:
        return "carried_out";
    case OrderEnd::LostAuthority:
        return "lost_authority";
    case OrderEnd::Expired:
        return "expired";
    case OrderEnd::NotRecorded:
        break;
    }
    return "not_recorded";
}

} // namespace almondscale
