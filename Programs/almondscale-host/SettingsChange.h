#pragma once

#include "platform/NodeSettings.h"

#include <string>

namespace almondscale {

// Differences between the settings of a running host and those reread from its file.
struct SettingsChange {
    bool retries = false;
    bool seeds = false;
    bool shutdownTime = false;
    // Comma-separated names of changed settings that take effect only after a restart.
    std::string needsRestart;

    // Comma-separated names of changed settings that a running host applies.
    std::string applied() const;
};

SettingsChange compareSettings(const platform::NodeSettings& running, const platform::NodeSettings& read);

} // namespace almondscale
