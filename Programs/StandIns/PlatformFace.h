#pragma once

#include "StandIns/HttpExchange.h"
#include "StandIns/PlatformSettings.h"

#include <memory>

namespace almondscale::standin {

// The HTTP face of the platform's stand-in: table, objects and the list of hosts.
class PlatformFace {
public:
    explicit PlatformFace(const PlatformSettings&);
    ~PlatformFace();

    void handle(HttpExchange&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale::standin
