#include "Serving/RoomQueue.h"

#include <iterator>

namespace almondscale {

RoomQueue::Place::Place(RoomQueue& queue, Key key, Priority priority)
    : m_queue(queue)
    , m_key(std::move(key))
    , m_order(priority.count(), ++queue.m_arrivals)
{
    m_queue.m_waiting[m_key].insert(m_order);
}

RoomQueue::Place::~Place()
{
    const auto waiting = m_queue.m_waiting.find(m_key);
    waiting->second.erase(m_order);
    if (waiting->second.empty())
        m_queue.m_waiting.erase(waiting);
}

std::size_t RoomQueue::Place::ahead() const
{
    const auto& waiting = m_queue.m_waiting.at(m_key);
    return static_cast<std::size_t>(std::distance(waiting.begin(), waiting.find(m_order)));
}

std::size_t RoomQueue::size(const Key& key) const
{
    const auto waiting = m_waiting.find(key);
    return waiting == m_waiting.end() ? 0 : waiting->second.size();
}

} // namespace almondscale
