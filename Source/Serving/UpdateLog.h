#pragma once

#include <cstddef>
#include <vector>

namespace almondscale {

// Updates in the order in which this host received them, for readers that each keep a position.
template <typename Update> class UpdateLog {
public:
    void add(const Update& update) { m_updates.push_back(update); }

    // The updates after the position. Advances the position to the end.
    std::vector<Update> since(std::size_t& position) const
    {
        const auto begin = m_updates.begin() + static_cast<std::ptrdiff_t>(position);
        position = m_updates.size();
        return { begin, m_updates.end() };
    }

private:
    std::vector<Update> m_updates;
};

} // namespace almondscale
