#pragma once

#include <cstdint>
#include <ostream>

namespace almondscale {

// The version of a row in the platform's table; 0 if the row does not exist. Not ordered: versions may be
// given out again, so that only a StoreVersion tells which of two is newer.
class RowVersion {
public:
    constexpr RowVersion() = default;
    constexpr explicit RowVersion(std::uint64_t count)
        : m_count(count)
    {
    }

    constexpr std::uint64_t count() const { return m_count; }

    friend constexpr RowVersion operator+(RowVersion a, RowVersion b)
    {
        return RowVersion(a.m_count + b.m_count);
    }
    friend constexpr bool operator==(RowVersion a, RowVersion b) { return a.m_count == b.m_count; }
    friend constexpr bool operator!=(RowVersion a, RowVersion b) { return a.m_count != b.m_count; }
    friend std::ostream& operator<<(std::ostream& out, RowVersion version) { return out << version.m_count; }

private:
    std::uint64_t m_count = 0;
};

} // namespace almondscale
