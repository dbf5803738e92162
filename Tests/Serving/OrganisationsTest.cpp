#include "Serving/RouteTable.h"

#include <catch2/catch.hpp>

#include <malloc.h>

#include <iostream>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int organisationCount = 14000;
constexpr int keysEach = 4;

std::string key(int organisation, int number)
{
    return "key-" + std::to_string(organisation) + "-" + std::to_string(number);
}

Manifest manifest(int count)
{
    Manifest manifest;
    manifest.version = 1;
    manifest.organisations.emplace();
    for (int i = 0; i < count; ++i) {
        OrganisationSpec organisation;
        organisation.name = Organisation("organisation-" + std::to_string(i));
        for (int number = 0; number < keysEach; ++number)
            organisation.keys.push_back(KeyDigest::of(key(i, number)));
        manifest.organisations->push_back(std::move(organisation));
    }
    return manifest;
}

std::size_t usedBytes()
{
    const auto used = mallinfo2();
    return used.uordblks + used.hblkhd;
}

} // namespace

TEST_CASE("Organisations of a manifest are found by each of their keys, and by no other")
{
    RouteTable routes;
    CHECK_FALSE(routes.organisations());
    routes.adopt(manifest(50));
    for (int i = 0; i < 50; ++i) {
        for (int number = 0; number < keysEach; ++number)
            CHECK(routes.organisations()->find(KeyDigest::of(key(i, number)))->name
                == Organisation("organisation-" + std::to_string(i)));
    }
    CHECK_FALSE(routes.organisations()->find(KeyDigest::of("key-50-0")));
    auto next = manifest(1);
    next.version = 2;
    next.organisations.reset();
    routes.adopt(next);
    CHECK_FALSE(routes.organisations());
}

// The bounds only show a cost of another order: a lookup that scans all keys, or copies of the manifest.
TEST_CASE("Organisations in the planned number are adopted and looked up in little time and memory")
{
    using Clock = std::chrono::steady_clock;
    const auto bytesBefore = usedBytes();
    auto large = manifest(organisationCount);
    const auto manifestBytes = usedBytes() - bytesBefore;
    RouteTable routes;
    const auto adoptedAt = Clock::now();
    routes.adopt(std::move(large));
    const auto adoption = Clock::now() - adoptedAt;
    const auto addedBytes = usedBytes() - bytesBefore - manifestBytes;
    constexpr int lookups = 100000;
    int found = 0;
    const auto wanted = KeyDigest::of(key(organisationCount / 2, 1));
    const auto wrong = KeyDigest::of("wrong");
    const auto startedAt = Clock::now();
    for (int i = 0; i < lookups; ++i)
        found += routes.organisations()->find(i % 2 ? wanted : wrong) ? 1 : 0;
    const auto lookup = (Clock::now() - startedAt) / lookups;
    std::cout << "organisations=" << organisationCount << " keys=" << organisationCount * keysEach
              << " adoption_us=" << std::chrono::duration_cast<std::chrono::microseconds>(adoption).count()
              << " lookup_ns=" << std::chrono::duration_cast<std::chrono::nanoseconds>(lookup).count()
              << " manifest_bytes=" << manifestBytes << " index_bytes=" << addedBytes << '\n';
    CHECK(found == lookups / 2);
    CHECK(lookup < 100us);
    CHECK(adoption < 2s);
    CHECK(addedBytes < 4u << 20);
}
