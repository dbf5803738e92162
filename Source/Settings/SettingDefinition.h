#pragma once

#include "Settings/HostSettings.h"

#include <functional>
#include <string>
#include <vector>

namespace almondscale {

// One key that a settings file may hold.
struct SettingDefinition {
    const char* section;
    const char* key;
    bool required;
    // What values are allowed, as shown in errors and in the reference.
    const char* allowed;
    const char* meaning;
    // Takes the value over; false if it is not allowed.
    std::function<bool(HostSettings&, const std::string&)> assign;
};

// All keys, in the order of the reference.
const std::vector<SettingDefinition>& settingDefinitions();

// The reference of all keys as a Markdown table.
std::string settingsReference();

} // namespace almondscale
