#include "Roles/RolePersistence.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using std::chrono::seconds;

namespace {

Nanoseconds persistence(const std::vector<double>& gains)
{
    PersistenceSettings settings;
    settings.sampleSpan = seconds(8);
    settings.noticeable = 0.1;
    settings.firstSpell = seconds(60);
    return expectedPersistence(gains, settings);
}

} // namespace

TEST_CASE("RolePersistence, no gain now, is zero")
{
    CHECK(persistence({ 5, 5, 5, 0 }) == Nanoseconds(0));
    CHECK(persistence({}) == Nanoseconds(0));
}

TEST_CASE("RolePersistence, a first spell, is believed in once it is old enough")
{
    CHECK(persistence({ 0, 0, 5, 5 }) == seconds(16));
    CHECK(persistence({ 0, 0, 5, 5, 5 }) == seconds(60));
    CHECK(persistence({ 0, 0, 5, 5, 5, 5, 5, 5, 5, 5, 5 }) == seconds(72));
}

TEST_CASE("RolePersistence, a longer spell before, is expected to reach its length")
{
    CHECK(persistence({ 5, 5, 5, 5, 0, 0, 5 }) == seconds(24));
}

TEST_CASE("RolePersistence, only shorter spells before, is expected to last as long again")
{
    CHECK(persistence({ 5, 0, 0, 5, 0, 0, 5, 5 }) == seconds(16));
}
