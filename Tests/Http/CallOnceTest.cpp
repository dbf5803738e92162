#include "FixedResponseServer.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

HttpCall bookingCall(const Address& to)
{
    HttpCall call;
    call.to = to;
    call.method = "POST";
    call.path = "/bookings";
    call.body = "{}";
    call.deadline = Deadline::after(monotonicClock()(), std::chrono::seconds(20));
    return call;
}

} // namespace

TEST_CASE("callOnce, response lost after the call was sent, is not resent")
{
    test::FixedResponseServer server("");
    const auto result = callOnce(bookingCall(server.address()));
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::AnswerLost);
    CHECK(server.connections() == 1);
}

TEST_CASE("callOnce, connection refused, is reported as not sent")
{
    const auto result = callOnce(bookingCall({ "127.0.0.1", freePort("127.0.0.1") }));
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::NotSent);
}

TEST_CASE("callOnce, deadline passed before the call, is reported as not sent")
{
    test::FixedResponseServer server("");
    HttpCall call = bookingCall(server.address());
    call.deadline = Deadline(monotonicClock()());
    CHECK(callOnce(call).failure == CallFailure::NotSent);
    CHECK(server.connections() == 0);
}

// Guards against a status that is none, which callers get as an answer.
TEST_CASE("callOnce, response with a status that is none, is reported as lost")
{
    const auto status = GENERATE("000", "099", "600", "999");
    test::FixedResponseServer server(std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 2\r\n\r\n{}");
    const auto result = callOnce(bookingCall(server.address()));
    CAPTURE(status);
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::AnswerLost);
}

TEST_CASE("callOnce, response truncated within its body, is reported as lost")
{
    test::FixedResponseServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"par");
    const auto result = callOnce(bookingCall(server.address()));
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::AnswerLost);
}
