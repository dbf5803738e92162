#include "Core/BoundedQueue.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace almondscale;

TEST_CASE("BoundedQueue, many consumers that wait with timeouts, get every item once")
{
    constexpr int items = 20000;
    BoundedQueue<std::string> queue(4);
    std::vector<std::atomic<int>> taken(items);
    std::atomic<int> total { 0 };
    std::vector<std::thread> consumers;
    consumers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        consumers.emplace_back([&] {
            while (total < items) {
                const auto item = queue.pop(1);
                if (!item)
                    continue;
                ++taken[std::stoul(*item)];
                ++total;
            }
        });
    }
    for (int i = 0; i < items; ++i)
        queue.push(std::to_string(i));
    for (std::thread& consumer : consumers)
        consumer.join();
    CHECK(std::all_of(taken.begin(), taken.end(), [](const std::atomic<int>& count) { return count == 1; }));
}

TEST_CASE("BoundedQueue, full, blocks its producer until there is room")
{
    BoundedQueue<int> queue(1);
    queue.push(1);
    std::atomic<bool> pushed { false };
    std::thread producer([&] {
        queue.push(2);
        pushed = true;
    });
    CHECK(queue.size() == 1);
    CHECK_FALSE(pushed);
    CHECK(queue.pop(1000) == 1);
    CHECK(queue.pop(10000) == 2);
    producer.join();
    CHECK_FALSE(queue.pop(1));
}
