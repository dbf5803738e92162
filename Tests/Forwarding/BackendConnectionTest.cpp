#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// A server that answers each request with the given bytes and then keeps or closes the connection.
class BackendConnectionFixture : public ForwardingFixture {
public:
    Result<HttpReply> answerOf(const std::string& bytes, bool keep)
    {
        addServer(
            "s", std::nullopt, [=](const LoopbackServer::Request&, tcp::socket& socket) -> awaitable<bool> {
                co_await LoopbackServer::write(socket, bytes);
                co_return keep;
            });
        std::optional<Result<HttpReply>> result;
        spawn(loop.get_executor(), call(backends.all().begin()->second.record.address, result));
        while (!result && loop.run_one() > 0) { }
        return *result;
    }

private:
    awaitable<void> call(Address server, std::optional<Result<HttpReply>>& result)
    {
        HttpRequestHead head { "GET", "/", {} };
        auto reply = co_await callHttp(
            pool, server, std::move(head), std::string(), Deadline::after(bootTime(), 300ms));
        result.emplace(std::move(reply));
    }
};

} // namespace

TEST_CASE_METHOD(
    BackendConnectionFixture, "Response without a length, ended by closing the connection, is complete")
{
    const auto reply = answerOf("HTTP/1.1 200 OK\r\n\r\nall of it", false);
    REQUIRE(reply.ok());
    CHECK(reply.value().body == "all of it");
}

TEST_CASE_METHOD(BackendConnectionFixture, "Response shorter than its Content-Length is an error")
{
    CHECK_FALSE(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false).ok());
}

TEST_CASE_METHOD(BackendConnectionFixture, "Bytes that are not an HTTP response are an error")
{
    CHECK_FALSE(answerOf("something else entirely\r\n\r\n", true).ok());
}

TEST_CASE_METHOD(BackendConnectionFixture, "Connection with surplus bytes after a response is not reused")
{
    const auto reply
        = answerOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", true);
    REQUIRE(reply.ok());
    CHECK(reply.value().body == "ok");
    CHECK(pool.take(backends.all().begin()->second.record.address) == nullptr);
}

TEST_CASE_METHOD(
    BackendConnectionFixture, "Connection is reused after a complete response while its server keeps it")
{
    REQUIRE(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok", true).ok());
    CHECK(pool.take(backends.all().begin()->second.record.address) != nullptr);
    REQUIRE(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true).ok());
}

TEST_CASE_METHOD(BackendConnectionFixture, "Connection that its server is about to close is not reused")
{
    REQUIRE(answerOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok", true).ok());
    CHECK(pool.take(backends.all().begin()->second.record.address) == nullptr);
}

TEST_CASE_METHOD(BackendConnectionFixture, "Request to a server that does not respond fails at the deadline")
{
    const auto before = bootTime();
    CHECK_FALSE(answerOf("", true).ok());
    CHECK(bootTime() - before < 600ms);
}

// Guards against bytes behind a status that is none, which callers get as the server's response.
TEST_CASE_METHOD(BackendConnectionFixture, "Status that is none is an error, whatever follows looks like")
{
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto status = GENERATE("000", "001", "099", "101", "600", "999", "1000");
    const auto head = std::string("HTTP/1.1 ") + status + " X\r\n";
    const auto length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    CAPTURE(status);
    CHECK_FALSE(answerOf(head + "\r\n" + inner, true).ok());
    backends.remove(BackendId("s"));
    CHECK_FALSE(answerOf(head + length + "\r\n" + inner, true).ok());
}

TEST_CASE_METHOD(BackendConnectionFixture, "Interim response with a body is an error, one without is skipped")
{
    const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto fields = GENERATE("Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n");
    CHECK_FALSE(answerOf(std::string("HTTP/1.1 103 X\r\n") + fields + "\r\n" + inner, true).ok());
    backends.remove(BackendId("s"));
    CHECK(answerOf("HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + inner, true).ok());
    backends.remove(BackendId("s"));
    CHECK(answerOf("HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\n" + inner, true).ok());
}
