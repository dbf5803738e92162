#include "StandIns/HostList.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::standin;
using namespace std::chrono_literals;

TEST_CASE("Host list, read within its lag, shows what was before", "[platform]")
{
    MonotonicTime now { 100s };
    HostList list(2s);
    list.set("h1", "{}", now);
    CHECK(list.read(now + 1s).empty());
    CHECK(list.read(now + 2s).count("h1") == 1);
    list.remove("h1", now + 3s);
    CHECK(list.read(now + 4s).count("h1") == 1);
    CHECK(list.read(now + 5s).empty());
}
