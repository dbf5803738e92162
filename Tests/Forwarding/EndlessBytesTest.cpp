#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Servers that send a start and then the same bytes forever, next to normal ones.
class EndlessBytesFixture : public ForwardingFixture {
public:
    // Sends the beginning, then the piece repeatedly until the connection is closed.
    LoopbackServer::Answer endless(const std::string& beginning, const std::string& piece)
    {
        return [this, beginning, piece](
                   const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            auto text = beginning;
            const auto id = text.find("ID");
            if (id != std::string::npos)
                text.replace(id, 2, std::string(request["Request-Id"]));
            std::size_t sent = 0;
            while (sent < maxSentBytes) {
                const auto [error, size]
                    = co_await boost::asio::async_write(socket, boost::asio::buffer(text), noThrow);
                sent += size;
                peakHeldBytes = std::max(peakHeldBytes, context.memory.heldBytes());
                if (error)
                    break;
                text = piece;
            }
            totalSentBytes += sent;
            ++ended;
            co_return false;
        };
    }

    static std::string okHead(const std::string& more)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n" + more + "\r\n";
    }

    // Bytes sent if the connection is not closed.
    static constexpr std::size_t maxSentBytes = 64 << 20;
    std::size_t totalSentBytes = 0;
    std::size_t peakHeldBytes = 0;
    int ended = 0;
};

// An endless response: its beginning, and the bytes that are then repeated.
struct Endless {
    const char* name;
    std::string beginning;
    std::string piece;
};

std::vector<Endless> endlessAnswers()
{
    const std::string noise(8000, 'x');
    const std::string chunked = EndlessBytesFixture::okHead("Transfer-Encoding: chunked\r\n");
    return {
        { "status line", "HTTP/1.1 200 " + noise, noise },
        { "header line", "HTTP/1.1 200 OK\r\nX-Long: " + noise, noise },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X-One: 1\r\nX-Two: 2\r\n" },
        { "interim answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "chunks", chunked, "1f40\r\n" + noise + "\r\n" },
        { "chunk's line", chunked, "1;" + noise },
        { "unframed body", EndlessBytesFixture::okHead("Connection: close\r\n"), noise },
        { "trailer", chunked + "0\r\n", "X-One: " + noise + "\r\n" },
    };
}

} // namespace

TEST_CASE_METHOD(
    EndlessBytesFixture, "Server with an endless response is cut off early, and other servers keep serving")
{
    for (const auto& answer : endlessAnswers()) {
        for (const std::string target : { "/unsafe/x", "/once/x" }) {
            INFO(answer.name << " " << target);
            totalSentBytes = 0;
            const bool stream = target == "/once/x";
            if (stream)
                addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1"})", ""));
            addServer("e", stream ? std::optional(EngineRole::Decode) : std::nullopt,
                endless(answer.beginning, answer.piece));
            const auto before = bootTime();
            const auto reply = ask("POST", target);
            // A started stream is aborted; otherwise the caller gets an error response.
            CHECK((!reply.ok() || reply.value().head.status == 502 || reply.value().head.status == 504));
            CHECK(bootTime() - before < 500ms);
            runFor(20ms);
            CHECK(totalSentBytes < 20U << 20);
            backends.remove(BackendId("e"));
            addServer("sound", std::nullopt, whole(200, "fine"));
            CHECK(ask("GET", "/safe/x").value().body == "fine");
            backends.remove(BackendId("sound"));
        }
    }
}

TEST_CASE_METHOD(
    EndlessBytesFixture, "Fifty concurrent endless responses hold a bounded part of the host's memory")
{
    const std::string noise(8000, 'x');
    addServer("e", std::nullopt, endless(okHead("Connection: close\r\n"), noise));
    int answered = 0;
    for (int i = 0; i < 50; ++i)
        spawn(loop.get_executor(), [](EndlessBytesFixture& self, int& count) -> awaitable<void> {
            ConnectionPool own(self.loop.get_executor());
            co_await callHttp(own, self.address, requestHead("POST", "/unsafe/x"), std::string(),
                Deadline::after(bootTime(), 4s));
            ++count;
        }(*this, answered));
    while (answered < 50 && loop.run_one() > 0) { }
    CHECK(peakHeldBytes > 0);
    CHECK(peakHeldBytes <= 24U << 20);
    runFor(20ms);
    CHECK(ended == 50);
    CHECK(context.memory.heldBytes() == 0);
}

TEST_CASE_METHOD(
    EndlessBytesFixture, "Stream that slowly sends an endless event ends at the request's deadline")
{
    addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1"})", ""));
    addServer("d", EngineRole::Decode,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            auto head = okHead("Connection: close\r\n");
            head.replace(head.find("ID"), 2, std::string(request["Request-Id"]));
            co_await LoopbackServer::write(socket, head + "id: 1\ndata: ");
            for (int i = 0; i < 100; ++i) {
                co_await LoopbackServer::write(socket, "x");
                co_await sleepFor(50ms);
            }
            co_return false;
        });
    const auto before = bootTime();
    const auto reply = ask("POST", "/once/x");
    CHECK((!reply.ok() || reply.value().head.status == 504));
    CHECK(bootTime() - before < 1300ms);
}

TEST_CASE_METHOD(EndlessBytesFixture,
    "Late duplicate response to a host's own call is not delivered to a caller's request")
{
    std::set<const void*> ownCalls;
    std::set<const void*> requests;
    addServer("p", EngineRole::Prefill,
        [&](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            const bool own = request.method_string() == "DELETE";
            (own ? ownCalls : requests).insert(&socket);
            co_await LoopbackServer::write(socket, answerText(request, 200, R"({"kvHandle":"h1"})", ""));
            co_return true;
        });
    addServer("d", EngineRole::Decode, whole(503, "", "Not-Executed: 1\r\n"));
    ask("POST", "/once/x");
    runFor(50ms);
    REQUIRE(ownCalls.size() == 1);
    ask("POST", "/once/x");
    runFor(50ms);
    for (const auto* socket : ownCalls)
        CHECK(requests.count(socket) == 0);
}

TEST_CASE_METHOD(EndlessBytesFixture,
    "Duplicate response on a connection is not taken for the response to the next request")
{
    std::string earlier;
    addServer("s", std::nullopt,
        [&](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            const auto mine = answerText(request, 200, "body of " + std::string(request.target()));
            co_await LoopbackServer::write(socket, earlier);
            co_await sleepFor(5ms);
            co_await LoopbackServer::write(socket, mine);
            earlier = mine;
            co_return true;
        });
    const auto askAs = [&](const std::string& id) {
        auto head = requestHead("POST", "/unsafe/" + id);
        head.fields = HttpFields();
        head.fields.add("Host", "h");
        head.fields.add("Request-Id", id);
        std::optional<Result<HttpReply>> result;
        spawn(loop.get_executor(),
            [](EndlessBytesFixture& self, HttpRequestHead head,
                std::optional<Result<HttpReply>>& result) -> awaitable<void> {
                ConnectionPool own(self.loop.get_executor());
                auto reply = co_await callHttp(
                    own, self.address, std::move(head), std::string(), Deadline::after(bootTime(), 4s));
                result.emplace(std::move(reply));
            }(*this, head, result));
        while (!result && loop.run_one() > 0) { }
        return *result;
    };
    CHECK(askAs("one").value().body == "body of /unsafe/one");
    CHECK(askAs("two").value().body == "body of /unsafe/two");
    CHECK(askAs("three").value().body == "body of /unsafe/three");
}
