#pragma once

#include "Authority/EngineOrder.h"
#include "Authority/OrderAnswer.h"
#include "Core/Address.h"
#include "Core/Deadline.h"

#include <memory>

namespace almondscale {

// Sends one order in two parts, so that its last byte leaves only after a last look at the lease.
class EngineOrderSender {
public:
    EngineOrderSender();
    ~EngineOrderSender();
    EngineOrderSender(const EngineOrderSender&) = delete;
    EngineOrderSender& operator=(const EngineOrderSender&) = delete;

    // True once the engine's side has taken all bytes but the last.
    bool sendHead(const Address&, const EngineOrder&, Deadline);
    OrderAnswer sendLastByte(Deadline);
    void abandon();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
