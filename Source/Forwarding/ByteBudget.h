#pragma once

#include <cstddef>

namespace almondscale {

// Limits the memory of a host for partially received messages. Each message has an exempt
// allowance; bytes beyond it are charged to a shared budget, so that endless messages cannot
// exhaust the memory.
class ByteBudget {
public:
    // The reservation of one message; the destructor releases it.
    class Reservation {
    public:
        explicit Reservation(ByteBudget& budget)
            : m_budget(budget)
        {
        }
        ~Reservation() { m_budget.m_shared -= m_shared; }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Sets the size of the message in bytes. Returns false, without change, if the budget is exhausted.
        bool resize(std::size_t bytes);

    private:
        ByteBudget& m_budget;
        std::size_t m_shared = 0;
    };

    // Bytes charged to the shared budget.
    std::size_t sharedBytes() const { return m_shared; }

private:
    std::size_t m_shared = 0;
};

} // namespace almondscale
