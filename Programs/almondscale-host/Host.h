#pragma once

#include "platform/NodeSettings.h"

#include <functional>
#include <memory>

namespace almondscale {

// The process of an entry host: all of its services, on one event loop.
class Host {
public:
    // Rereads the settings file.
    using SettingsLoader = std::function<platform::NodeSettingsResult()>;

    Host(platform::NodeSettings, SettingsLoader);
    ~Host();

    // Serves until SIGTERM or SIGINT. Returns the exit status of the process, 1 if an
    // address cannot be listened on.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
