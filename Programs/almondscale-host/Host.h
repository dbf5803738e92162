#pragma once

#include "platform/NodeSettings.h"

#include <functional>
#include <memory>

namespace almondscale {

// One entry host on the platform: everything that its process does, on one loop.
class Host {
public:
    // Reads the settings file again.
    using SettingsReader = std::function<platform::NodeSettingsResult()>;

    Host(platform::NodeSettings, SettingsReader);
    ~Host();

    // Serves until it is told to stop; the exit status of the process.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
