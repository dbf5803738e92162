#pragma once

#include "Settings/HostSettings.h"
#include "Settings/SettingError.h"

#include <string>
#include <vector>

namespace almondscale {

// The settings of a file and all errors found in it. The settings are valid only if there are no
// errors.
struct ReadSettings {
    HostSettings settings;
    std::vector<SettingError> errors;
};

// Parses and checks the text of a settings file.
ReadSettings readSettings(const std::string& text);

// Formats the error as "FILE:LINE: text", or "FILE: text" if it has no line.
std::string describe(const SettingError&, const std::string& file);

} // namespace almondscale
