#pragma once

#include "EngineDirectory.h"

#include <memory>

namespace almondscale {

// Asks each engine for its load and its cache events, and pumps the pools.
class EngineWatcher {
public:
    EngineWatcher(EngineDirectory&, const DataCentre& own, Nanoseconds interval);
    ~EngineWatcher();
    EngineWatcher(const EngineWatcher&) = delete;
    EngineWatcher& operator=(const EngineWatcher&) = delete;

    void start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
