#pragma once

#include "Settings/HostSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace almondscale {

// A key of the settings file.
struct SettingDefinition {
    const char* section;
    const char* key;
    bool required;
    // The allowed values, as shown in error messages and in the reference.
    const char* allowed;
    const char* meaning;
    // Parses and stores the value. Returns false if it is not allowed.
    std::function<bool(HostSettings&, const std::string&)> assign;
};

// All keys, in the order of the reference.
const std::vector<SettingDefinition>& settingDefinitions();

// The reference of all keys, as a Markdown table.
std::string settingsReference();

} // namespace almondscale
