#pragma once

#include <string>

namespace almondscale {

// Converts ASCII letters to lower case; header names are compared in this form.
std::string lowerCase(std::string);

} // namespace almondscale
