#pragma once

#include "StandIns/HttpExchange.h"

#include <memory>

namespace almondscale::standin {

// A stand-in for a plain service, which counts the runs of each idempotency key.
// It does not recognise a repeated key, as an application that trusts its callers.
class ServiceFace {
public:
    ServiceFace();
    ~ServiceFace();

    void handle(HttpExchange&);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale::standin
