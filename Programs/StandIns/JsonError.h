#pragma once

#include <string>

namespace almondscale::standin {

// {"error": word}
std::string jsonError(const std::string& word);

} // namespace almondscale::standin
