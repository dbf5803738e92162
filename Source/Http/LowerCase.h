#pragma once

#include <string>

namespace almondscale {

// The text with its ASCII letters in lower case, as header names are compared.
std::string lowerCase(std::string);

} // namespace almondscale
