#pragma once

#include <cstddef>

namespace almondscale {

// Bounds what a host holds of messages that are not whole yet. Each may hold a little; what is
// beyond is shared, so that messages without an end do not take the memory of all others.
class ByteBudget {
public:
    // One message's part; it is free again with this object.
    class Reservation {
    public:
        explicit Reservation(ByteBudget& budget)
            : m_budget(budget)
        {
        }
        ~Reservation() { m_budget.m_shared -= m_shared; }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Whether the message may hold so many bytes in all.
        bool resize(std::size_t bytes);

    private:
        ByteBudget& m_budget;
        std::size_t m_shared = 0;
    };

    // Bytes that messages hold beyond what each may.
    std::size_t sharedBytes() const { return m_shared; }

private:
    std::size_t m_shared = 0;
};

} // namespace almondscale
