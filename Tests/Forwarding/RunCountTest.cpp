#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const std::string notRun = "Not-Executed: 1\r\n";

// Records the requests that count as runs. All requests are of one organisation.
class RunCountFixture : public ForwardingFixture {
public:
    RunCountFixture()
    {
        const auto decode = wire.decodeRequest;
        wire.decodeRequest = [this, decode](HttpRequestHead head, std::string body, bool keyed) {
            auto request = decode(std::move(head), std::move(body), keyed);
            if (request && hasKey)
                request.value().key = KeyDigest::of("key");
            return request;
        };
        auto manifest = *routes.manifest();
        ++manifest.version;
        manifest.organisations = { { organisation, { KeyDigest::of("key") }, std::nullopt } };
        routes.adopt(manifest);
        context.onRunBegan
            = [this](const Organisation&, MonotonicTime began) { runs.push_back(began - startedAt); };
    }

    // Sends events up to `last`, then ends or breaks off.
    static LoopbackServer::Answer stream(int last, bool breaks, Nanoseconds pause = 0ms)
    {
        return [=](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            co_await LoopbackServer::write(socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"])
                    + "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
            co_await sleepFor(pause);
            for (int id = 1; id <= last; ++id)
                co_await LoopbackServer::write(socket, "e\r\nid: " + std::to_string(id) + "\ndata: \n\n\r\n");
            if (!breaks)
                co_await LoopbackServer::write(socket, "0\r\n\r\n");
            co_return !breaks;
        };
    }

    static awaitable<bool> lose(const LoopbackServer::Request&, tcp::socket&) { co_return false; }

    int statusOf(const std::string& method, const std::string& target)
    {
        const auto reply = ask(method, target);
        return reply ? reply.value().head.status : 0;
    }

    Organisation organisation { "a" };
    bool hasKey = true;
    MonotonicTime startedAt = bootTime();
    std::vector<Nanoseconds> runs;
};

} // namespace

// Guards against usage that is counted when the response arrives, in a window after that of the run.
TEST_CASE_METHOD(RunCountFixture, "Plain request counts once, at the time of sending")
{
    addServer("s1", std::nullopt,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            co_await sleepFor(200ms);
            co_await LoopbackServer::write(socket, answerText(request, 200, "fine"));
            co_return true;
        });
    CHECK(statusOf("POST", "/unsafe/x") == 200);
    REQUIRE(runs.size() == 1);
    CHECK(runs.front() < 150ms);
}

TEST_CASE_METHOD(RunCountFixture, "Request that no server ran does not count")
{
    addServer("s1", std::nullopt, whole(503, "", notRun));
    CHECK(statusOf("GET", "/safe/x") == 503);
    CHECK(statusOf("GET", "/gone/x") == 404);
    CHECK(runs.empty());
}

TEST_CASE_METHOD(RunCountFixture, "Anonymous request does not count")
{
    hasKey = false;
    changeRoutes([](Route& route) { route.allowAnonymous = true; });
    addServer("s1", std::nullopt, whole(200, "fine"));
    CHECK(statusOf("GET", "/safe/x") == 200);
    CHECK(runs.empty());
}

// Guards against usage that is counted for each attempt, or not at all if none was answered.
TEST_CASE_METHOD(
    RunCountFixture, "Request that is sent twice, fails at a server or loses its response counts once")
{
    const auto [answer, status] = GENERATE(std::pair(LoopbackServer::Answer(lose), 502),
        std::pair(whole(500, "broken"), 500), std::pair(whole(200, "foreign", ""), 502));
    addServer("s1", std::nullopt, answer);
    addServer("s2", std::nullopt, answer);
    CHECK(statusOf("GET", "/safe/x") == status);
    CHECK(servers[0]->requests + servers[1]->requests == 2);
    CHECK(runs.size() == 1);
}

TEST_CASE_METHOD(RunCountFixture, "Request unanswered at its deadline counts at the time of sending")
{
    addServer("s1", std::nullopt, [](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> {
        co_await sleepFor(3s);
        co_return false;
    });
    CHECK(statusOf("POST", "/unsafe/x") == 504);
    REQUIRE(runs.size() == 1);
    CHECK(runs.front() < 500ms);
}

// Guards against prefills and resumed parts of a stream that are counted as runs of their own.
TEST_CASE_METHOD(RunCountFixture, "Stream counts once, with its first event, also if it is resumed elsewhere")
{
    const bool breaks = GENERATE(false, true);
    addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    addServer("d1", EngineRole::Decode, stream(2, breaks, 200ms));
    addServer("d2", EngineRole::Decode, stream(2, breaks, 200ms));
    statusOf("POST", "/stream/x");
    REQUIRE(runs.size() == 1);
    CHECK(runs.front() >= 200ms);
    CHECK(servers[1]->requests + servers[2]->requests == (breaks ? 2 : 1));
}

TEST_CASE_METHOD(RunCountFixture, "Stream that its caller resumes does not count again")
{
    addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    addServer("d", EngineRole::Decode, stream(2, false));
    auto head = requestHead("POST", "/stream/x");
    head.fields.add("Last-Event-Id", "1");
    CHECK(askHead(head).ok());
    CHECK(runs.empty());
}
