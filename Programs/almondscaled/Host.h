#pragma once

#include "Settings/HostSettings.h"

#include <memory>

namespace almondscale {

// One running host: all its duties, from start to graceful end.
class Host {
public:
    explicit Host(const HostSettings&);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    // Starts all duties; throws std::system_error if a port cannot be had.
    void start();

    // Asks for a graceful end; safe to call from any thread.
    void requestShutdown();

    // Waits until a graceful end was asked for and is done.
    void waitUntilEnded();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
