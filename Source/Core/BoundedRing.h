#pragma once

#include <cxxtools/queue.h>

#include <cstddef>
#include <optional>

namespace almondscale {

// A bounded queue that joins the threads of two duties.
template <typename T> class BoundedRing {
public:
    explicit BoundedRing(std::size_t capacity) { m_queue.maxSize(capacity); }

    // Blocks while the ring is full.
    void push(const T& item) { m_queue.put(item); }

    // Returns nothing if the ring stays empty for the timeout.
    std::optional<T> pop(int timeoutMs)
    {
        auto [item, found] = m_queue.get(cxxtools::Milliseconds(timeoutMs));
        if (!found)
            return std::nullopt;
        return item;
    }

    std::size_t size() const { return m_queue.size(); }

private:
    cxxtools::Queue<T> m_queue;
};

} // namespace almondscale
