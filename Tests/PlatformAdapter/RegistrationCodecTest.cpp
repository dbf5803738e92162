#include "platform/RegistrationCodec.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

std::string registration(const std::string& members)
{
    return R"({"service":"llm","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":64,)"
           R"("coldRemainingMs":0,"sequence":4,)"
        + members + "}";
}

} // namespace

TEST_CASE("Registration of an engine is decoded with role and start time")
{
    const auto change = platform::decodeRegistration(
        "i-1", registration(R"("state":"ready","stage":"prefill","born":1700000000123)"));
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
    const auto first = registration(R"("state":"ready")");
    auto next = first;
    next.replace(next.find("\"sequence\":4"), 12, "\"sequence\":5");
    CHECK(platform::sameRegistration(first, next));
    CHECK_FALSE(platform::sameRegistration(first, registration(R"("state":"draining")")));
    CHECK_FALSE(platform::sameRegistration(first, "broken"));
}

TEST_CASE("Registration from another writer, with a member that cannot be right, names no server")
{
    const std::string deep = std::string(20000, '[') + std::string(20000, ']');
    const auto odd = GENERATE_COPY(as<std::string>(), registration(R"("state":"ready","born":)" + deep),
        registration(R"("state":"ready","born":123456789012345678901234567890)"),
        registration(R"("state":"ready","born":"soon")"), registration(R"("state":"ready","born":1e999)"),
        registration(R"("state":"ready","stage":7)"), registration(R"("state":"ready","stage":"both")"),
        registration(R"("state":3)"), registration("\"state\":\"ready\xff\""),
        R"({"service":"llm","address":"10.0.0.1:70000","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.1:-1","zone":"a","slots":64,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.1:80","zone":"a","slots":99999999999999999999,"state":"ready"})",
        R"({"service":"llm","address":"10.0.0.1:80","zone":"a","slots":-3,"state":"ready"})",
        R"({"service":"","address":"10.0.0.1:80","zone":"a","slots":3,"state":"ready"})");
    const auto change = platform::decodeRegistration("i", odd);
    CHECK_FALSE(change.record);
    CHECK(change.unreadable);
}

// Guards against sending requests to another program: review/5 put such an entry, and callers got its 404.
TEST_CASE("Registration without a member that every server writes, or of another type, names no server")
{
    const auto whole = registration(R"("state":"ready")");
    REQUIRE(platform::decodeRegistration("i", whole).record);
    const auto [member, other] = GENERATE(table<std::string, std::string>({
        { R"("version":"v1",)", "" },
        { R"("coldRemainingMs":0,)", "" },
        { R"("sequence":4,)", "" },
        { R"("version":"v1")", R"("version":1)" },
        { R"("coldRemainingMs":0)", R"("coldRemainingMs":"0")" },
        { R"("sequence":4)", R"("sequence":4.5)" },
    }));
    auto text = whole;
    REQUIRE(text.find(member) != std::string::npos);
    text.replace(text.find(member), member.size(), other);
    const auto change = platform::decodeRegistration("i", text);
    CHECK_FALSE(change.record);
    CHECK(change.unreadable);
}

TEST_CASE("Registration of a spot server says so")
{
    CHECK(platform::decodeRegistration("i", registration(R"("state":"ready","spot":true)")).record->spot);
    CHECK_FALSE(platform::decodeRegistration("i", registration(R"("state":"ready")")).record->spot);
}
