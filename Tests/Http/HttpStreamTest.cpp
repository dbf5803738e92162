#include "Http/HttpStream.h"
#include "FixedResponseServer.h"
#include "Http/HttpServer.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

Deadline soon() { return Deadline::after(monotonicClock()(), std::chrono::seconds(20)); }

HttpCall callTo(const Address& to)
{
    HttpCall call;
    call.to = to;
    call.path = "/attempts";
    call.method = "POST";
    call.deadline = soon();
    return call;
}

} // namespace

TEST_CASE("HttpStream, lines split across chunks, are reassembled in order")
{
    test::FixedResponseServer server(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n5\r\n\ntwo\n\r\n0\r\n\r\n");
    HttpStream stream;
    REQUIRE(stream.open(callTo(server.address())).ok());
    std::string line;
    REQUIRE(stream.readLine(line, soon()) == HttpStream::ReadResult::Line);
    CHECK(line == "one");
    REQUIRE(stream.readLine(line, soon()) == HttpStream::ReadResult::Line);
    CHECK(line == "two");
    CHECK(stream.readLine(line, soon()) == HttpStream::ReadResult::EndOfStream);
}

TEST_CASE("HttpStream, request with a body of 1 MiB, is sent completely")
{
    HttpServer server({ "127.0.0.1", 0 }, [](const HttpRequest& request, ReplyWriter& reply) {
        reply.beginStream({});
        reply.write(request.method + " " + std::to_string(request.body.size()) + "\n");
    });
    HttpCall call = callTo(server.address());
    call.body = std::string(1 << 20, 'p');
    HttpStream stream;
    REQUIRE(stream.open(call).ok());
    std::string line;
    REQUIRE(stream.readLine(line, soon()) == HttpStream::ReadResult::Line);
    CHECK(line == "POST 1048576");
}

// Guards against a stream behind a status that is none.
TEST_CASE("HttpStream, response with a status that is none, is reported as lost")
{
    test::FixedResponseServer server(
        "HTTP/1.1 000 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n");
    HttpStream stream;
    const auto result = stream.open(callTo(server.address()));
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::AnswerLost);
}

TEST_CASE("HttpStream, connection closed within a line, ends without the partial line")
{
    test::FixedResponseServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\none\npart");
    HttpStream stream;
    REQUIRE(stream.open(callTo(server.address())).ok());
    std::string line;
    REQUIRE(stream.readLine(line, soon()) == HttpStream::ReadResult::Line);
    CHECK(stream.readLine(line, soon()) == HttpStream::ReadResult::EndOfStream);
}

TEST_CASE("HttpStream, connection closed before the response, is reported as lost and not retried")
{
    test::FixedResponseServer server("");
    HttpStream stream;
    const auto result = stream.open(callTo(server.address()));
    CHECK_FALSE(result.ok());
    CHECK(result.failure == CallFailure::AnswerLost);
    CHECK(server.connections() == 1);
}
