#pragma once

#include <string>

namespace almondscale {

// An error in a settings file. The line is 0 if the error has no line, such as a missing key.
struct SettingError {
    int line = 0;
    std::string text;
};

} // namespace almondscale
