#pragma once

#include <cstddef>
#include <vector>

namespace almondscale {

// News in the order in which this host heard it, for readers that each go on where they were.
template <typename Update> class UpdateLog {
public:
    void add(const Update& update) { m_updates.push_back(update); }

    // What came after the position; sets the position to the end.
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
