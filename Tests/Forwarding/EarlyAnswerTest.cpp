#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/socket_base.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

enum class Ending {
    // Resets the connection without ending the response.
    Reset,
    // Ends the response, and resets the connection since the request was not read.
    EndAndReset,
};

// A server that answers before it has read the request, and then ends the connection.
class HastyServer {
public:
    HastyServer(const boost::asio::any_io_executor& executor, const Address& address)
        : m_listener(executor, [this](tcp::socket socket) {
            const auto executor = socket.get_executor();
            spawn(executor, serve(std::make_shared<tcp::socket>(std::move(socket))));
        })
    {
        m_listener.start(address);
    }

    std::string answer;
    std::size_t readBytes = 0;
    Ending ending = Ending::Reset;
    Nanoseconds resetDelay {};
    int requests = 0;

private:
    awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        std::string request(std::max<std::size_t>(1, readBytes), '\0');
        co_await boost::asio::async_read(*socket, boost::asio::buffer(request), noThrow);
        // Probes of its liveness send no POST.
        requests += request.front() == 'P' ? 1 : 0;
        co_await LoopbackServer::write(*socket, answer);
        boost::system::error_code ignored;
        if (ending == Ending::EndAndReset)
            socket->shutdown(tcp::socket::shutdown_send, ignored);
        if (resetDelay > 0ms)
            co_await sleepFor(resetDelay);
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }

    HttpListener m_listener;
};

class EarlyAnswerFixture : public ForwardingFixture {
public:
    HastyServer& addHastyServer(const std::string& id, std::optional<EngineRole> role = std::nullopt)
    {
        hasty.push_back(std::make_unique<HastyServer>(loop.get_executor(), addAbsentServer(id, role)));
        return *hasty.back();
    }

    Result<HttpReply> upload(const std::string& target, std::size_t bytes)
    {
        return askHead(requestHead("POST", target), std::string(bytes, 'x'));
    }

    std::vector<std::unique_ptr<HastyServer>> hasty;
};

const std::string signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n";

} // namespace

// Guards against a part of an answer that callers get as a whole one, since it has no length and its server
// breaks off while the upload is under way.
TEST_CASE_METHOD(EarlyAnswerFixture, "Answer without a length to an upload that was not taken is no success")
{
    const std::size_t bytes = GENERATE(20'000, 300'000, 1'500'000, 4'100'000);
    auto& server = addHastyServer("s1");
    server.answer = signedHead + "\r\npart of it";
    server.readBytes = GENERATE(std::size_t(1), std::size_t(1000)) == 1 ? 1 : bytes / 2;
    server.ending = GENERATE(Ending::Reset, Ending::EndAndReset);
    server.resetDelay = GENERATE(0ms, 5ms);
    CAPTURE(bytes, server.readBytes, static_cast<int>(server.ending), server.resetDelay.count());
    const auto reply = upload("/unsafe/x", bytes);
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status >= 500);
    CHECK(server.requests == 1);
}

TEST_CASE_METHOD(
    EarlyAnswerFixture, "Stream without a length to an upload that was not taken does not end well")
{
    const std::size_t bytes = GENERATE(300'000, 4'100'000);
    addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    auto& server = addHastyServer("d", EngineRole::Decode);
    server.answer = signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n";
    server.readBytes = GENERATE(std::size_t(1), std::size_t(1000)) == 1 ? 1 : bytes / 2;
    server.ending = GENERATE(Ending::Reset, Ending::EndAndReset);
    const auto reply = upload("/once/x", bytes);
    CAPTURE(bytes, server.readBytes, static_cast<int>(server.ending));
    CHECK(server.requests == 1);
    // The caller gets a failure, or a stream that breaks off.
    CHECK((!reply.ok() || reply.value().head.status >= 500));
}

TEST_CASE_METHOD(EarlyAnswerFixture, "Answer without a length from a server that took the upload is complete")
{
    const std::size_t bytes = GENERATE(20'000, 4'100'000);
    addServer("s1", std::nullopt,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            co_await LoopbackServer::write(socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"])
                    + "\r\nResponse-Signature: s\r\n\r\nall of it");
            co_return false;
        });
    const auto reply = upload("/unsafe/x", bytes);
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(reply.value().body == "all of it");
}
