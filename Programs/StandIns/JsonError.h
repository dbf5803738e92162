#pragma once

#include <string>

namespace almondscale {

// {"error": word}
std::string jsonError(const std::string& word);

} // namespace almondscale
