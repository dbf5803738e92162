#include "Serving/ManifestCheck.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

struct ManifestFixture {
    ManifestFixture()
    {
        manifest.organisations = { { Organisation("north"), { KeyDigest::of("k1") }, std::nullopt },
            { Organisation("south"), { KeyDigest::of("k2"), KeyDigest::of("k3") }, Priority(1) } };
        ServiceSpec llm { ServiceName("llm"), 100, std::nullopt, PoolSpec() };
        llm.pool->min = 1;
        llm.pool->max = 30;
        llm.pool->spotPrice = 0.2;
        llm.pool->prices = { { DataCentre("a"), 1.0 }, { DataCentre("b"), 0.8 } };
        manifest.services[llm.name] = llm;
    }

    PoolSpec& pool() { return *manifest.services.begin()->second.pool; }

    std::string onlyError() const
    {
        const auto errors = checkManifest(manifest, { DataCentre("a"), DataCentre("b") });
        return errors.size() == 1 ? errors.front() : std::to_string(errors.size()) + " errors";
    }

    Manifest manifest;
};

} // namespace

TEST_CASE_METHOD(ManifestFixture, "Sound manifest has no errors")
{
    CHECK(checkManifest(manifest, { DataCentre("a"), DataCentre("b") }).empty());
}

TEST_CASE_METHOD(ManifestFixture, "Organisations with one key, or an empty one, are named with the remedy")
{
    SECTION("shared key")
    {
        manifest.organisations->at(1).keys.push_back(KeyDigest::of("k1"));
        CHECK(onlyError()
            == "organisation \"south\" has a key of organisation \"north\"; give each organisation its own "
               "keys");
    }
    SECTION("empty key")
    {
        manifest.organisations->at(0).keys.push_back(KeyDigest::of(""));
        CHECK(onlyError() == "organisation \"north\" has an empty key; remove it");
    }
    SECTION("name used twice")
    {
        manifest.organisations->at(1).name = Organisation("north");
        CHECK(onlyError() == "organisation \"north\" is listed twice; merge the entries");
    }
}

TEST_CASE_METHOD(
    ManifestFixture, "Pool with impossible bounds, prices or data centres is named with the remedy")
{
    SECTION("min above max")
    {
        pool().min = 31;
        CHECK(onlyError() == "pool of service \"llm\": min is 31 and max is 30; use 0 <= min <= max");
    }
    SECTION("price of nought")
    {
        pool().prices[DataCentre("b")] = 0;
        CHECK(onlyError()
            == "pool of service \"llm\": the price in \"b\" is not above 0; use a price such as 1.0");
    }
    SECTION("spot price below nought")
    {
        pool().spotPrice = -0.1;
        CHECK(
            onlyError() == "pool of service \"llm\": the spot price is not above 0; use a share such as 0.3");
    }
    SECTION("unknown data centre")
    {
        pool().prices[DataCentre("c")] = 1;
        CHECK(onlyError()
            == "pool of service \"llm\": there is no data centre \"c\"; remove its price or correct the "
               "name");
    }
}
