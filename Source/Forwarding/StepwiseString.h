#pragma once

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>

namespace almondscale {

// Makes room for a string of the size. The capacity grows by a quarter, and not beyond the maximum if it
// suffices; std::string by itself doubles it.
inline void growStepwise(
    std::string& text, std::size_t size, std::size_t maximum = std::numeric_limits<std::size_t>::max())
{
    constexpr std::size_t minStep = 2 << 10;
    const auto capacity = text.capacity();
    if (size <= capacity)
        return;
    const auto wanted = std::max(size, capacity + std::max(minStep, capacity / 4));
    // std::string::reserve() at least doubles the capacity of a string that is not empty.
    std::string grown;
    grown.reserve(std::min(wanted, std::max(maximum, size)));
    grown += text;
    text.swap(grown);
}

inline void appendStepwise(std::string& text, std::string_view bytes)
{
    growStepwise(text, text.size() + bytes.size());
    text += bytes;
}

} // namespace almondscale
