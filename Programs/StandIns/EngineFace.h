#pragma once

#include "Core/MonotonicTime.h"
#include "StandIns/EngineSettings.h"
#include "StandIns/HttpExchange.h"

#include <functional>
#include <memory>

namespace almondscale::standin {

// The HTTP face of a stand-in engine, with a thread that runs its steps.
class EngineFace {
public:
    // Closes all connections and refuses new ones for the time.
    using Interrupt = std::function<void(Nanoseconds)>;

    EngineFace(const EngineSettings&, Interrupt);
    ~EngineFace();

    void handle(HttpExchange&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale::standin
