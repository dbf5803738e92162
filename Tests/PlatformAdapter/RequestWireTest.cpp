#include "platform/RequestWire.h"

#include "Serving/BackendTable.h"

#include <catch2/catch.hpp>

#include <type_traits>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class RequestWireFixture {
public:
    RequestWireFixture()
        : wire(platform::makeServingWire())
    {
        head.method = "POST";
        head.target = "/a/b";
        head.fields.add("Host", "h.example");
        head.fields.add("Request-Id", "abc");
    }

    CallerRequest decoded() const
    {
        auto request = wire.decodeRequest(head, "body", hasKeys);
        REQUIRE(request.ok());
        return request.value();
    }

    static SendPermit permit()
    {
        BackendTable table;
        BackendRecord record;
        record.id = BackendId("i-1");
        table.put(record);
        return std::move(*table.admit(record.id, MonotonicTime()));
    }

    // The limit that is decoded from the text in a response, in requests per second; negative for none.
    double limitOf(const std::string& text) const
    {
        HttpResponseHead response;
        response.status = 200;
        response.fields.add("Server-Limit", text);
        const auto reply = wire.decodeReply(response);
        CHECK(reply.limitUnreadable == !reply.limit);
        CHECK(reply.success());
        return reply.limit ? reply.limit->perSecond() : -1;
    }

    ServingWire wire;
    HttpRequestHead head;
    bool hasKeys = false;
};

} // namespace

TEST_CASE_METHOD(RequestWireFixture, "Reserved fields of a caller are not forwarded")
{
    for (const char* name :
        { "Kv-Source", "kv-hold", "Pin-Ms", "Kv-Backup", "Serving-Stage", "Request-Priority" })
        head.fields.add(name, "forged");
    head.fields.add("Deadline-Ms", "900");
    BackendCall call(permit());
    call.remaining = 700ms;
    const auto sent = wire.encodeCall(decoded(), call);
    for (const char* name :
        { "Kv-Source", "Kv-Hold", "Pin-Ms", "Kv-Backup", "Serving-Stage", "Request-Priority" })
        CHECK_FALSE(sent.fields.has(name));
    CHECK(*sent.fields.find("Deadline-Ms") == "700");
    CHECK(*sent.fields.find("Expect-Instance") == "i-1");
    CHECK(*sent.fields.find("Request-Id") == "abc");
    CHECK(decoded().timeout == Nanoseconds(900ms));
}

// A request cannot be encoded without a permit, which only the table of servers issues.
static_assert(!std::is_default_constructible_v<SendPermit> && !std::is_copy_constructible_v<SendPermit>);
static_assert(!std::is_default_constructible_v<BackendCall> && !std::is_copy_constructible_v<BackendCall>);

TEST_CASE_METHOD(
    RequestWireFixture, "Limit of a server, unusable or not, is bounded and never fails the response")
{
    CHECK(limitOf("4.7") == 4.7);
    CHECK(limitOf("1") == 1);
    for (const char* least : { "0", "-3", "0.0001", "1e-999", "-inf" })
        CHECK(limitOf(least) == 0.1);
    for (const char* most : { "1e300", "inf", "99999999999", "1e999" })
        CHECK(limitOf(most) == 1e6);
    CHECK(limitOf(std::string(400, '9')) == 1e6);
    for (const char* unreadable : { "", "many", "nan", "1,5", "5/s", " 5" })
        CHECK(limitOf(unreadable) == -1);
    HttpResponseHead response;
    CHECK_FALSE(wire.decodeReply(response).limit);
    CHECK_FALSE(wire.decodeReply(response).limitUnreadable);
}

TEST_CASE_METHOD(RequestWireFixture, "Hop-by-hop fields of a caller are not forwarded, but the request id is")
{
    head.fields.add("Connection", "keep-alive, X-Private, Request-Id");
    head.fields.add("X-Private", "1");
    head.fields.add("Transfer-Encoding", "chunked");
    head.fields.add("Content-Length", "4");
    head.fields.add("X-Other", "2");
    const auto sent = wire.encodeCall(decoded(), BackendCall(permit()));
    CHECK_FALSE(sent.fields.has("X-Private"));
    CHECK_FALSE(sent.fields.has("Connection"));
    CHECK_FALSE(sent.fields.has("Transfer-Encoding"));
    CHECK_FALSE(sent.fields.has("Content-Length"));
    CHECK(sent.fields.has("X-Other"));
    CHECK(*sent.fields.find("Request-Id") == "abc");
}

TEST_CASE_METHOD(RequestWireFixture, "Request for an engine is decoded with the shared part of its prompt")
{
    head.fields.add("Token-Count", "1460,80");
    head.fields.add("Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    const auto first = decoded().prompt;
    REQUIRE(first);
    CHECK(first->tokens == TokenCount(1460));
    CHECK(first->prefixTokens == TokenCount(1210));
    CHECK(first->maxOutput == TokenCount(80));
    head.fields.erase("Prefix-Hash");
    head.fields.add("Prefix-Hash", "5c1e07a2:800,91bd3f06:410,ffffffff:250");
    CHECK(decoded().prompt->prefixHash == first->prefixHash);
    head.fields.erase("Token-Count");
    head.fields.add("Token-Count", "many");
    CHECK_FALSE(decoded().prompt);
}

TEST_CASE_METHOD(RequestWireFixture, "Request without an id is rejected")
{
    head.fields.erase("Request-Id");
    CHECK(wire.decodeRequest(head, "", false).kind() == ErrorKind::BadRequest);
}

TEST_CASE_METHOD(RequestWireFixture, "Reply is decoded with whether the server did not run the request")
{
    HttpResponseHead reply;
    reply.status = 503;
    CHECK_FALSE(wire.decodeReply(reply).notExecuted);
    reply.fields.add("Not-Executed", "1");
    CHECK(wire.decodeReply(reply).notExecuted);
    reply.status = 421;
    CHECK(wire.decodeReply(reply).wrongBackend);
}

TEST_CASE_METHOD(
    RequestWireFixture, "Error for a request that did not run is encoded with the time to retry after")
{
    const auto refused = wire.encodeError(ErrorKind::QueueFull, Nanoseconds(300ms));
    CHECK(refused.head.status == 503);
    CHECK(*refused.head.fields.find("Retry-After") == "0.30");
    CHECK(refused.body.find(R"("run":"no")") != std::string::npos);
    const auto lost = wire.encodeError(ErrorKind::AnswerLost, std::nullopt);
    CHECK(lost.head.status == 502);
    CHECK_FALSE(lost.head.fields.has("Retry-After"));
    CHECK(lost.body.find(R"("run":"unknown")") != std::string::npos);
}

TEST_CASE_METHOD(
    RequestWireFixture, "Prompt, with parts in hexadecimal or garbage, has the same ids for the same parts")
{
    head.fields.add("Token-Count", "100,10");
    head.fields.add("Prefix-Hash", " 0bAd:50,zz:x,bad:1,,12345678901234567890:3, f");
    const auto parts = decoded().prompt->parts;
    REQUIRE(parts.size() == 6);
    CHECK(parts[0] == PromptPartId(0xbad));
    CHECK(parts[0] == parts[2]);
    CHECK(parts[1] != parts[3]);
    CHECK(parts[1] != parts[4]);
    CHECK(parts[5] == PromptPartId(0xf));
}

TEST_CASE_METHOD(
    RequestWireFixture, "Key of a caller is decoded, and neither it nor an organisation is forwarded")
{
    hasKeys = true;
    const auto name = GENERATE("Authorization", "authorization");
    const auto value = GENERATE("Bearer k1", "bearer k1", "BEARER   k1 ");
    // Fields that are listed here are dropped before others are looked at.
    head.fields.add("Connection", GENERATE("keep-alive", "Authorization, Tenant-Id"));
    head.fields.add(name, value);
    head.fields.add("tenant-id", "forged");
    auto request = decoded();
    CHECK(request.key == KeyDigest::of("k1"));
    CHECK_FALSE(request.keyMalformed);
    auto sent = wire.encodeCall(request, BackendCall(permit()));
    CHECK_FALSE(sent.fields.has("Authorization"));
    CHECK_FALSE(sent.fields.has("Tenant-Id"));
    request.organisation = Organisation("north");
    sent = wire.encodeCall(request, BackendCall(permit()));
    CHECK(*sent.fields.find("Tenant-Id") == "north");
}

TEST_CASE_METHOD(RequestWireFixture, "Malformed or repeated key is no missing one")
{
    hasKeys = true;
    CHECK_FALSE(decoded().keyMalformed);
    SECTION("malformed")
    {
        head.fields.add("Authorization", GENERATE("", "Bearer", "Bearer ", "Basic k1", "k1", "Bearerk1"));
    }
    SECTION("repeated")
    {
        head.fields.add("Authorization", GENERATE("Bearer k1", "Basic k1"));
        head.fields.add("authorization", GENERATE("Bearer k1", "Basic k1"));
    }
    CHECK(decoded().keyMalformed);
    CHECK_FALSE(decoded().key);
    CHECK_FALSE(decoded().head.fields.has("Authorization"));
}

TEST_CASE_METHOD(RequestWireFixture, "Without keys, the fields of keys are forwarded like any others")
{
    head.fields.add("Authorization", "Bearer k1");
    head.fields.add("Tenant-Id", "mine");
    const auto request = decoded();
    CHECK_FALSE(request.key);
    const auto sent = wire.encodeCall(request, BackendCall(permit()));
    CHECK(*sent.fields.find("Authorization") == "Bearer k1");
    CHECK(*sent.fields.find("Tenant-Id") == "mine");
}
