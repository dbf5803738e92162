#pragma once

#include "EngineDirectory.h"
#include "Membership/MembershipService.h"

#include <string>

namespace almondscale {

// What the command-line tool shows of a host, as JSON.
std::string membersJson(const std::vector<Member>&);
std::string enginesJson(const std::vector<EngineRecord>&);

} // namespace almondscale
