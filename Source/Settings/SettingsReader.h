#pragma once

#include "Settings/HostSettings.h"
#include "Settings/SettingError.h"

#include <string>
#include <vector>

namespace almondscale {

// The settings of a file, or everything that is wrong with it.
struct ReadSettings {
    HostSettings settings;
    std::vector<SettingError> errors;
};

// Checks the whole text of a settings file.
ReadSettings readSettings(const std::string& text);

// The error as "FILE:LINE: text".
std::string describe(const SettingError&, const std::string& file);

} // namespace almondscale
