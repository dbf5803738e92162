#include "Roles/RolePersistence.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using std::chrono::seconds;

TEST_CASE("RolePersistence, no gain now, is zero")
{
    CHECK(expectedPersistence({ 5, 5, 5, 0 }, seconds(8), 0.1) == Nanoseconds(0));
    CHECK(expectedPersistence({}, seconds(8), 0.1) == Nanoseconds(0));
}

TEST_CASE("RolePersistence, a first spell, is expected to last as long again")
{
    CHECK(expectedPersistence({ 0, 0, 5, 5, 5 }, seconds(8), 0.1) == seconds(24));
}

TEST_CASE("RolePersistence, a longer spell before, is expected to reach its length")
{
    CHECK(expectedPersistence({ 5, 5, 5, 5, 0, 5 }, seconds(8), 0.1) == seconds(24));
}

TEST_CASE("RolePersistence, only shorter spells before, is expected to last as long again")
{
    CHECK(expectedPersistence({ 5, 0, 5, 0, 5, 5 }, seconds(8), 0.1) == seconds(16));
}
