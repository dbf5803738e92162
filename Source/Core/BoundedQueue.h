#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace almondscale {

// A bounded blocking queue between threads, with any number of producers and consumers.
//
// Used instead of the queue of cxxtools, which pops from an empty queue if several threads wait with
// a timeout, and crashes.
template <typename T> class BoundedQueue {
public:
    explicit BoundedQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // Blocks while the queue is full.
    void push(T item)
    {
        std::unique_lock lock(m_mutex);
        m_notFull.wait(lock, [this] { return m_items.size() < m_capacity; });
        m_items.push_back(std::move(item));
        m_notEmpty.notify_one();
    }

    // Waits up to the timeout for an item. Returns nothing if the queue stays empty.
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
