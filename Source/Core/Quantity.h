#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace almondscale {

// An integer with a unit. Quantities of different units are distinct types.
template <typename Tag, typename Rep = std::int64_t> class Quantity {
public:
    constexpr Quantity() = default;
    constexpr explicit Quantity(Rep count)
        : m_count(count)
    {
    }

    constexpr Rep count() const { return m_count; }

    constexpr Quantity& operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
    friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
    friend constexpr bool operator==(Quantity a, Quantity b) { return a.m_count == b.m_count; }
    friend constexpr bool operator!=(Quantity a, Quantity b) { return a.m_count != b.m_count; }
    friend constexpr bool operator<(Quantity a, Quantity b) { return a.m_count < b.m_count; }
    friend constexpr bool operator<=(Quantity a, Quantity b) { return a.m_count <= b.m_count; }
    friend constexpr bool operator>(Quantity a, Quantity b) { return a.m_count > b.m_count; }
    friend constexpr bool operator>=(Quantity a, Quantity b) { return a.m_count >= b.m_count; }
    friend std::ostream& operator<<(std::ostream& out, Quantity q) { return out << q.m_count; }

private:
    Rep m_count = 0;
};

} // namespace almondscale

template <typename Tag, typename Rep> struct std::hash<almondscale::Quantity<Tag, Rep>> {
    std::size_t operator()(almondscale::Quantity<Tag, Rep> q) const noexcept
    {
        return std::hash<Rep>()(q.count());
    }
};
