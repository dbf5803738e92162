#include "Membership/MemberState.h"

namespace almondscale {

const char* memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    case MemberState::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace almondscale
