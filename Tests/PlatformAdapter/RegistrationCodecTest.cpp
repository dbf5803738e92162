#include "platform/RegistrationCodec.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

std::string registration(const std::string& members)
{
    return R"({"service":"llm","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":64,)" + members
        + "}";
}

} // namespace

TEST_CASE("Registration of an engine is decoded with role and start time")
{
    const auto change = platform::decodeRegistration(
        "i-1", registration(R"("state":"ready","stage":"prefill","sequence":4,"born":1700000000123)"));
    REQUIRE(change.record);
    CHECK(change.record->id == BackendId("i-1"));
    CHECK(change.record->role == EngineRole::Prefill);
    CHECK(change.record->startedAtMs == 1700000000123);
    CHECK_FALSE(change.record->draining);
    CHECK_FALSE(change.unreadable);
}

TEST_CASE("Invalid or incomplete registration is decoded without a record")
{
    CHECK_FALSE(platform::decodeRegistration("i", "\x01\x02").record);
    CHECK(platform::decodeRegistration("i", "\x01\x02").unreadable);
    CHECK_FALSE(platform::decodeRegistration("i", "{}").record);
    CHECK_FALSE(platform::decodeRegistration("i", registration(R"("state":"sleeping")")).record);
    CHECK_FALSE(platform::decodeRegistration("i", registration(R"("state":1)")).record);
    CHECK_FALSE(platform::decodeRegistration(
        "i", R"({"service":"llm","address":7,"zone":"a","slots":64,"state":"ready"})")
                    .record);
    CHECK_FALSE(platform::decodeRegistration(
        "i", R"({"service":"llm","address":"nowhere","zone":"a","slots":64,"state":"ready"})")
                    .record);
}

TEST_CASE("Registrations that differ only in their heartbeat are equal")
{
    const auto first = registration(R"("state":"ready","sequence":4)");
    CHECK(platform::sameRegistration(first, registration(R"("state":"ready","sequence":5)")));
    CHECK_FALSE(platform::sameRegistration(first, registration(R"("state":"draining","sequence":5)")));
    CHECK_FALSE(platform::sameRegistration(first, "broken"));
}
