#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

#include <boost/asio/socket_base.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Heads with which a response begins; the server stops within them.
const std::string wholeHead
    = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\n";
const std::string headWithoutLength
    = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\n";
const std::string streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Type: "
                               "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

// A server that stops after the bytes and closes the connection, or resets it.
LoopbackServer::Answer stopAfter(const std::string& bytes, bool reset)
{
    return [=](const LoopbackServer::Request&, tcp::socket& socket) -> awaitable<bool> {
        co_await LoopbackServer::write(socket, bytes);
        if (reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
        co_return false;
    };
}

} // namespace

// Guards against a success that callers get for a response whose head was cut.
TEST_CASE_METHOD(ForwardingFixture, "Response cut within its head, at each byte, is no success")
{
    const bool reset = GENERATE(false, true);
    const auto& head = GENERATE_REF(values<std::string>({ wholeHead, headWithoutLength }));
    const auto cut = GENERATE_REF(range<std::size_t>(1, head.size()));
    auto& server = addServer("s1", std::nullopt, stopAfter(head.substr(0, cut), reset));
    const auto reply = ask("GET", "/safe/x");
    REQUIRE(reply.ok());
    CAPTURE(head, cut, reset);
    CHECK(server.requests >= 1);
    CHECK(reply.value().head.status >= 500);
}

TEST_CASE_METHOD(ForwardingFixture, "Stream cut within its head, at each byte, is no success")
{
    const bool reset = GENERATE(false, true);
    const auto cut = GENERATE(range<std::size_t>(1, streamHead.size()));
    addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    auto& server = addServer("d", EngineRole::Decode, stopAfter(streamHead.substr(0, cut), reset));
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CAPTURE(cut, reset);
    CHECK(server.requests >= 1);
    CHECK(reply.value().head.status >= 500);
}
