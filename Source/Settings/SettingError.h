#pragma once

#include <string>

namespace almondscale {

// One fault in a settings file.
struct SettingError {
    int line = 0;
    std::string text;
};

} // namespace almondscale
