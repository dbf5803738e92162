#pragma once

#include "Core/EngineRole.h"
#include "Core/Priority.h"
#include "Core/ServiceName.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace almondscale {

// The requests that wait for a server whose limit leaves room, by service and role. More urgent requests go
// first, and of equally urgent ones those that have waited longer. Not thread-safe.
class RoomQueue {
public:
    using Key = std::pair<ServiceName, std::optional<EngineRole>>;

    // A request's place in the queue, which it leaves on destruction.
    class Place {
    public:
        Place(RoomQueue&, Key, Priority);
        ~Place();

        Place(const Place&) = delete;
        Place& operator=(const Place&) = delete;

        bool isFirst() const { return ahead() == 0; }
        // Requests that go before this one.
        std::size_t ahead() const;

    private:
        RoomQueue& m_queue;
        Key m_key;
        std::pair<int, std::uint64_t> m_order;
    };

    std::size_t size(const Key&) const;

private:
    // By priority, 0 being the most urgent, and order of arrival.
    std::map<Key, std::set<std::pair<int, std::uint64_t>>> m_waiting;
    std::uint64_t m_arrivals = 0;
};

} // namespace almondscale
