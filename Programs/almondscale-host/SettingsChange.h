#pragma once

#include "platform/NodeSettings.h"

#include <string>

namespace almondscale {

// What differs between the settings of a running host and those that its file has now.
struct SettingsChange {
    bool retries = false;
    bool seeds = false;
    bool shutdownTime = false;
    // Names of the settings that only a start applies, joined by commas.
    std::string needsRestart;

    // The names of those that a running host applies, joined in the same way.
    std::string applied() const;
};

SettingsChange compareSettings(const platform::NodeSettings& running, const platform::NodeSettings& read);

} // namespace almondscale
