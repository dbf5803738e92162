#include "platform/RequestWire.h"

#include <catch2/catch.hpp>

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
        auto request = wire.decodeRequest(head, "body");
        REQUIRE(request.ok());
        return request.value();
    }

    ServingWire wire;
    HttpRequestHead head;
};

} // namespace

TEST_CASE_METHOD(RequestWireFixture, "Reserved fields of a caller are not forwarded")
{
    for (const char* name :
        { "Kv-Source", "kv-hold", "Pin-Ms", "Kv-Backup", "Serving-Stage", "Request-Priority" })
        head.fields.add(name, "forged");
    head.fields.add("Deadline-Ms", "900");
    BackendCall call;
    call.backend = BackendId("i-1");
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

TEST_CASE_METHOD(RequestWireFixture, "Hop-by-hop fields of a caller are not forwarded, but the request id is")
{
    head.fields.add("Connection", "keep-alive, X-Private, Request-Id");
    head.fields.add("X-Private", "1");
    head.fields.add("Transfer-Encoding", "chunked");
    head.fields.add("Content-Length", "4");
    head.fields.add("X-Other", "2");
    const auto sent = wire.encodeCall(decoded(), {});
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
    CHECK(wire.decodeRequest(head, "").kind() == ErrorKind::BadRequest);
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
