#include "Http/HttpServer.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using test::RawConnection;

namespace {

void handleRequest(const HttpRequest& request, ReplyWriter& writer)
{
    if (request.path == "/throw")
        throw std::runtime_error("handler failure");
    if (request.path == "/stream") {
        writer.beginStream({});
        writer.write("first\n");
        writer.write("second\n");
        return;
    }
    HttpResponse response;
    response.body
        = request.method + " " + request.path + " q=" + request.queryParameter("q") + " " + request.body;
    writer.send(response);
}

class ServerFixture {
protected:
    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBody = ByteCount(1000);
        limits.bodyTimeout = std::chrono::milliseconds(200);
        return limits;
    }

    std::string exchange(const std::string& bytes)
    {
        RawConnection connection(m_server.address());
        connection.send(bytes);
        return connection.readToEnd();
    }

    HttpServer m_server { { "127.0.0.1", 0 }, handleRequest, limits() };
};

bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

const std::string closing = "Host: x\r\nConnection: close\r\n";

} // namespace

TEST_CASE_METHOD(ServerFixture, "HttpServer, plain request, is answered with its query and body")
{
    const auto reply = exchange("POST /a?q=z HTTP/1.1\r\n" + closing + "Content-Length: 5\r\n\r\nhello");
    CHECK(has(reply, "200"));
    CHECK(has(reply, "POST /a q=z hello"));
}

TEST_CASE_METHOD(ServerFixture, "HttpServer, body over the limit, is rejected before it is read")
{
    const auto reply = exchange("POST /a HTTP/1.1\r\n" + closing + "Content-Length: 1001\r\n\r\n");
    CHECK(has(reply, "413"));
    CHECK(has(reply, "body_too_large"));
    CHECK(has(reply, "\"run\":\"no\""));
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, chunked request body, is rejected and not parsed as further requests")
{
    const auto reply = exchange("POST /a HTTP/1.1\r\n" + closing
        + "Transfer-Encoding: chunked\r\n\r\n1c\r\nPOST /smuggled HTTP/1.1\r\n\r\n\r\n0\r\n\r\n");
    CHECK(has(reply, "411"));
    CHECK_FALSE(has(reply, "smuggled"));
}

TEST_CASE_METHOD(ServerFixture, "HttpServer, malformed or duplicate Content-Length, is rejected")
{
    for (const char* length : { "Content-Length: -5\r\n", "Content-Length: zz\r\n", "Content-Length: \r\n",
             "Content-Length: 5\r\nContent-Length: 3\r\n" }) {
        CAPTURE(length);
        const auto reply = exchange("POST /a HTTP/1.1\r\n" + closing + length + "\r\nhello");
        CHECK(has(reply, "400"));
        CHECK(has(reply, "bad_request"));
    }
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, pipelined requests, are answered in order, each with its own body")
{
    const auto reply = exchange("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nfirst"
                                "POST /2 HTTP/1.1\r\n"
        + closing + "Content-Length: 6\r\n\r\nsecond");
    const auto one = reply.find("POST /1 q= first");
    const auto two = reply.find("POST /2 q= second");
    REQUIRE(one != std::string::npos);
    REQUIRE(two != std::string::npos);
    CHECK(one < two);
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, client that half-closed its connection, gets the complete response")
{
    for (const char* path : { "/stream", "/plain" }) {
        RawConnection connection(m_server.address());
        connection.send(std::string("GET ") + path + " HTTP/1.1\r\n" + closing + "\r\n");
        connection.closeSending();
        const auto reply = connection.readToEnd();
        CAPTURE(path, reply);
        CHECK((has(reply, "second") || has(reply, "GET /plain")));
    }
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, handler that throws, gives an internal error and later requests are served")
{
    CHECK(has(exchange("GET /throw HTTP/1.1\r\n" + closing + "\r\n"), "\"kind\":\"internal\""));
    CHECK(has(exchange("GET /a HTTP/1.1\r\n" + closing + "\r\n"), "GET /a"));
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, malformed request and oversized header, do not affect other connections")
{
    exchange(std::string("\0\1garbage\r\n\r\n", 13));
    exchange("GET /a HTTP/1.1\r\nX: " + std::string(100000, 'y') + "\r\n\r\n");
    CHECK(has(exchange("GET /a HTTP/1.1\r\n" + closing + "\r\n"), "GET /a"));
}

TEST_CASE_METHOD(
    ServerFixture, "HttpServer, incomplete body, is rejected after the body timeout and blocks no thread")
{
    RawConnection stopped(m_server.address());
    stopped.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart");
    CHECK(has(exchange("GET /a HTTP/1.1\r\n" + closing + "\r\n"), "GET /a"));
    const auto reply = stopped.readToEnd();
    CHECK(has(reply, "408"));
    CHECK(has(reply, "\"run\":\"no\""));
}
