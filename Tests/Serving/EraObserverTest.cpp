#include "Serving/EraObserver.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace almondscale;

// Guards against hosts that read through another one, and never learn that the store lost their writes.
TEST_CASE("Era that another host has seen is reported once, as is one of the store's own response")
{
    EraObserver observer;
    std::vector<StoreEra> left;
    observer.onEra = [&](StoreEra before) { left.push_back(before); };
    for (const auto era : { 4, 4, 5, 4, 5 })
        observer.note(StoreEra(era));
    CHECK(left == std::vector<StoreEra> { StoreEra(0), StoreEra(4) });
    CHECK(observer.era() == StoreEra(5));
}

TEST_CASE("Store that states no era is reported as such once")
{
    EraObserver observer;
    int calls = 0;
    observer.onEra = [&](StoreEra) { ++calls; };
    observer.note(StoreEra(0));
    observer.note(StoreEra(0));
    CHECK(calls == 1);
}
