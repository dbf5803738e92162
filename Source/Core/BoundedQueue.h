#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace almondscale {

// A bounded queue that joins the threads of two duties; any number of threads may use either end.
//
// The library's own queue takes from an empty queue when several threads wait with a timeout.
template <typename T> class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Blocks while the ring is full.
    void push(T item)
    {
        std::unique_lock lock(m_mutex);
        m_notFull.wait(lock, [this] { return m_items.size() < m_capacity; });
        m_items.push_back(std::move(item));
        m_notEmpty.notify_one();
    }

    // Returns nothing if the ring stays empty for the timeout.
    std::optional<T> pop(int timeoutMs)
    {
        std::unique_lock lock(m_mutex);
        const auto timeout = std::chrono::milliseconds(timeoutMs);
        if (!m_notEmpty.wait_for(lock, timeout, [this] { return !m_items.empty(); }))
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        m_notFull.notify_one();
        return item;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    std::deque<T> m_items;
};

} // namespace almondscale
