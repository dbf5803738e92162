#include "Routing/PrefixHints.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };
constexpr PrefixHash a { 1 };
constexpr PrefixHash b { 2 };

} // namespace

TEST_CASE("PrefixHints, events in sequence, follow the cache until they expire")
{
    PrefixHints hints;
    const std::vector<CacheEvent> events { { 0, CacheEventKind::Stored, a }, { 1, CacheEventKind::Stored, b },
        { 2, CacheEventKind::Evicted, a } };
    CHECK(hints.apply(events, 3, start + 60s, start + 5s, start) == 3);
    CHECK_FALSE(hints.holds(a, start));
    CHECK(hints.holds(b, start + 59s));
    CHECK_FALSE(hints.holds(b, start + 60s));
}

TEST_CASE("PrefixHints, hints from before a gap in the events, are kept for a short time only")
{
    PrefixHints hints;
    hints.apply({ { 0, CacheEventKind::Stored, a } }, 1, start + 60s, start + 5s, start);
    // Event 1 was lost; it may have evicted the first prefix.
    hints.apply({ { 2, CacheEventKind::Stored, b } }, 3, start + 60s, start + 5s, start);
    CHECK(hints.holds(a, start + 4s));
    CHECK_FALSE(hints.holds(a, start + 5s));
    CHECK(hints.holds(b, start + 50s));
}

TEST_CASE("PrefixHints, more prefixes than the maximum, stay bounded")
{
    PrefixHints hints;
    for (std::uint64_t i = 0; i < 10000; ++i)
        hints.add(PrefixHash(i), start + 60s + Nanoseconds(static_cast<std::int64_t>(i)), start);
    CHECK(hints.size() <= 4096);
    CHECK(hints.holds(PrefixHash(9999), start));
}
