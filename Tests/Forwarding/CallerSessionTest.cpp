#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// A caller with a raw socket.
class CallerFixture : public ForwardingFixture {
public:
    CallerFixture()
        : caller(loop)
    {
        caller.connect(tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port));
    }

    void send(const std::string& text) { boost::asio::write(caller, boost::asio::buffer(text)); }

    // Runs the loop for the time, then returns the bytes received.
    std::string received(Nanoseconds after)
    {
        runFor(after);
        std::string text(65536, '\0');
        caller.non_blocking(true);
        boost::system::error_code error;
        text.resize(caller.read_some(boost::asio::buffer(text), error));
        return text;
    }

    // Begins a shutdown that ends the requests after the time.
    void shutDown(Nanoseconds requestTime)
    {
        const auto end = Deadline::after(bootTime(), requestTime);
        context.shutdown = ShutdownSchedule { end, end, end };
        for (const auto& session : sessions)
            session->endRequestBy(end);
    }

    static std::string request(const std::string& target, const std::string& id, const std::string& more = "")
    {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1000\r\n"
            + more + "\r\n";
    }

    tcp::socket caller;
};

} // namespace

TEST_CASE_METHOD(CallerFixture, "Pipelined requests are answered in order")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    send(request("/safe/1", "a") + request("/safe/2", "b"));
    const auto text = received(200ms);
    CHECK(text.find("Request-Id: a") < text.find("Request-Id: b"));
    CHECK(text.find("Request-Id: b") != std::string::npos);
}

TEST_CASE_METHOD(
    CallerFixture, "Disconnect of the caller closes the connection to the backend server at once")
{
    bool closed = false;
    addServer(
        "s1", std::nullopt, [&](const LoopbackServer::Request&, tcp::socket& socket) -> awaitable<bool> {
            std::array<char, 1> byte {};
            const auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(byte), noThrow);
            closed = static_cast<bool>(error);
            co_return false;
        });
    send(request("/safe/1", "a"));
    runFor(100ms);
    CHECK(context.openRequests == 1);
    caller.close();
    runFor(100ms);
    CHECK(closed);
    CHECK(context.openRequests == 0);
}

TEST_CASE_METHOD(CallerFixture, "Request with both a length and chunks is refused and closes the connection")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    send("POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
         "chunked\r\n\r\n"
         "0\r\n\r\n"
        + request("/safe/2", "b"));
    const auto text = received(200ms);
    CHECK(text.find("HTTP/1.1 400") == 0);
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(server.requests == 0);
}

TEST_CASE_METHOD(CallerFixture, "Host without a manifest refuses requests and reports that they did not run")
{
    context.routes = RouteTable();
    send(request("/safe/1", "a"));
    const auto text = received(100ms);
    CHECK(text.find("HTTP/1.1 503") == 0);
    CHECK(text.find(R"("run":"no")") != std::string::npos);
}

TEST_CASE_METHOD(
    CallerFixture, "Host that shuts down answers the request being read and closes the connection")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    shutDown(5s);
    send(request("/safe/1", "a"));
    const auto text = received(200ms);
    CHECK(text.find("HTTP/1.1 200") == 0);
    CHECK(text.find("Connection: close") != std::string::npos);
}

// Guards against requests that a stopping host accepts and cuts off at its end.
TEST_CASE_METHOD(CallerFixture,
    "Request on a kept connection, deadline after the end of the shutdown, is refused at once and not sent")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    send(request("/unsafe/1", "a"));
    REQUIRE(received(200ms).find("HTTP/1.1 200") == 0);
    shutDown(500ms);
    send(request("/unsafe/2", "b"));
    const auto text = received(100ms);
    CHECK(text.find("HTTP/1.1 503") == 0);
    CHECK(text.find(R"("run":"no")") != std::string::npos);
    CHECK(text.find("Retry-After: 0") != std::string::npos);
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(server.requests == 1);
}

// Guards against connections that a stopping host closes without a response.
TEST_CASE_METHOD(
    CallerFixture, "Request that runs when the shutdown ends, its caller is told that it may have run")
{
    addServer("s1", std::nullopt, [](const LoopbackServer::Request&, tcp::socket& socket) -> awaitable<bool> {
        std::array<char, 1> byte {};
        co_await socket.async_read_some(boost::asio::buffer(byte), noThrow);
        co_return false;
    });
    send(request("/unsafe/1", "a"));
    CHECK(received(100ms).empty());
    shutDown(200ms);
    const auto text = received(400ms);
    CHECK(text.find("HTTP/1.1 504") == 0);
    CHECK(text.find(R"("run":"unknown")") != std::string::npos);
    CHECK(text.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(CallerFixture, "Caller that expects 100 Continue before its body gets it")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    send("POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 4\r\nExpect: "
         "100-continue\r\n\r\n");
    CHECK(received(100ms) == "HTTP/1.1 100 Continue\r\n\r\n");
    send("body");
    CHECK(received(200ms).find("HTTP/1.1 200") == 0);
}

TEST_CASE_METHOD(
    CallerFixture, "Body announced over the limit is refused before it is sent, and the caller sees it")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    const std::string start
        = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 5000000\r\n";
    SECTION("that waits for 100 Continue, which is not sent")
    {
        send(start + "Expect: 100-continue\r\n\r\n");
    }
    SECTION("that is sent all the same")
    {
        send(start + "\r\n");
        runFor(20ms);
        // Unread bytes would reset the connection and could discard the response.
        send(std::string(100000, 'x'));
    }
    const auto text = received(100ms);
    CHECK(text.find("HTTP/1.1 413") == 0);
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(server.requests == 0);
    runFor(1200ms);
    CHECK(sessions.empty());
    CHECK(context.memory.heldBytes() == 0);
}

// Guards against a stopped body that holds memory that other callers need.
TEST_CASE_METHOD(
    CallerFixture, "Short memory: a body that stopped is refused with 408, a small request is served")
{
    context.memory.setSize(280 << 10);
    addServer("s1", std::nullopt, whole(200, "fine"));
    send("POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 210000\r\n\r\n");
    for (int i = 0; i < 20; ++i) {
        send(std::string(10000, 'x'));
        runFor(5ms);
    }
    CAPTURE(context.memory.heldBytes());
    CHECK(context.memory.isShort());
    CHECK(ask("GET", "/safe/1").value().body == "fine");
    runFor(800ms);
    context.memory.sweep(bootTime());
    const auto text = received(50ms);
    CHECK(text.find("HTTP/1.1 408") == 0);
    CHECK(text.find("Connection: close") != std::string::npos);
    CHECK(text.find(R"("run":"no")") != std::string::npos);
    CHECK(context.memory.heldBytes() <= context.memory.size());
}
