#include "Core/BoundedRing.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace almondscale;

TEST_CASE("BoundedRing, many consumers that wait with timeouts, get every item once")
{
    constexpr int items = 20000;
    BoundedRing<std::string> ring(4);
    std::vector<std::atomic<int>> taken(items);
    std::atomic<int> total { 0 };
    std::vector<std::thread> consumers;
    consumers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        consumers.emplace_back([&] {
            while (total < items) {
                const auto item = ring.pop(1);
                if (!item)
                    continue;
                ++taken[std::stoul(*item)];
                ++total;
            }
        });
    }
    for (int i = 0; i < items; ++i)
        ring.push(std::to_string(i));
    for (std::thread& consumer : consumers)
        consumer.join();
    CHECK(std::all_of(taken.begin(), taken.end(), [](const std::atomic<int>& count) { return count == 1; }));
}

TEST_CASE("BoundedRing, full, holds back its producer until there is room")
{
    BoundedRing<int> ring(1);
    ring.push(1);
    std::atomic<bool> pushed { false };
    std::thread producer([&] {
        ring.push(2);
        pushed = true;
    });
    CHECK(ring.size() == 1);
    CHECK_FALSE(pushed);
    CHECK(ring.pop(1000) == 1);
    CHECK(ring.pop(10000) == 2);
    producer.join();
    CHECK_FALSE(ring.pop(1));
}
