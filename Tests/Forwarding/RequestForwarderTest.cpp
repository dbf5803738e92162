#include "ForwardingFixture.h"

#include "Serving/ScopedLoad.h"

#include "Serving/RequestContent.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const std::string notRun = "Not-Executed: 1\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string streamHead(const LoopbackServer::Request& request)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"])
        + "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
}

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

// A prefill engine, and answers of decode engines that stream events.
class StreamFixture : public ForwardingFixture {
public:
    StreamFixture()
    {
        addServer("p", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    }

    // Streams the events after Last-Event-Id up to `last`; closes the connection after `breakAfter`.
    LoopbackServer::Answer stream(int last, int breakAfter)
    {
        return [this, last, breakAfter](
                   const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            sources.emplace_back(request["Kv-Source"]);
            const std::string after(request["Last-Event-Id"]);
            resumedAfter.push_back(after);
            co_await LoopbackServer::write(socket, streamHead(request));
            for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= last; ++id) {
                if (id > breakAfter) {
                    co_await LoopbackServer::write(socket, chunk("id: " + std::to_string(id) + "\nda"));
                    co_return false;
                }
                co_await LoopbackServer::write(socket, chunk(event(id)));
            }
            co_await LoopbackServer::write(socket, "0\r\n\r\n");
            co_return true;
        };
    }

    std::vector<std::string> sources;
    std::vector<std::string> priorities;
    // The engine that announced its leaving, and the position in the leaving log.
    std::string left;
    std::size_t heard = 0;
    std::vector<std::string> resumedAfter;
};

} // namespace

TEST_CASE_METHOD(
    ForwardingFixture, "Safe request, refused by a server that did not run it, is sent to another")
{
    auto& full = addServer("s1", std::nullopt, whole(503, "", notRun));
    auto& free = addServer("s2", std::nullopt, whole(200, "fine"));
    const auto reply = ask("GET", "/safe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(reply.value().body == "fine");
    CHECK(free.requests == 1);
    CHECK(full.requests <= 1);
}

// Guards against a server that is not known to be absent although another one answers at its address.
TEST_CASE_METHOD(
    ForwardingFixture, "Request answered by another server at the address is sent on, and tells so")
{
    addServer("s1", std::nullopt, whole(421, ""));
    addServer("s2", std::nullopt, whole(200, "fine"));
    std::vector<BackendLifetime> absent;
    context.onWrongServer = [&](const BackendLifetime& server) { absent.push_back(server); };
    for (int i = 0; i < 8 && absent.empty(); ++i) {
        const auto reply = ask("POST", "/unsafe/x", "body");
        REQUIRE(reply.ok());
        CHECK(reply.value().body == "fine");
    }
    REQUIRE(absent.size() == 1);
    CHECK(absent.front().backend == BackendId("s1"));
}

TEST_CASE_METHOD(
    ForwardingFixture, "Safe request that fails is retried once and then answered with the failure")
{
    auto& first = addServer("s1", std::nullopt, whole(500, "broken"));
    auto& second = addServer("s2", std::nullopt, whole(500, "broken"));
    addServer("s3", std::nullopt, whole(500, "broken"));
    const auto reply = ask("GET", "/safe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 500);
    CHECK(reply.value().head.fields.has("Response-Signature"));
    CHECK(first.requests + second.requests + servers[2]->requests == 2);
}

TEST_CASE_METHOD(
    ForwardingFixture, "Unsafe request whose answer is lost, sent once, is answered without a promise")
{
    const auto lose
        = [](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> { co_return false; };
    auto& first = addServer("s1", std::nullopt, lose);
    auto& second = addServer("s2", std::nullopt, lose);
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 502);
    CHECK_FALSE(reply.value().head.fields.has("Retry-After"));
    CHECK(first.requests + second.requests == 1);
}

TEST_CASE_METHOD(ForwardingFixture,
    "Unsafe request, with most servers refusing connections, is answered by the one that is there")
{
    for (const char* id : { "a1", "a2", "a3" })
        addAbsentServer(id);
    auto& sound = addServer("s1", std::nullopt, whole(200, "fine"));
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(sound.requests == 1);
}

TEST_CASE_METHOD(ForwardingFixture, "Request without any server is refused at once, with Retry-After")
{
    const auto before = bootTime();
    const auto reply = ask("GET", "/safe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 503);
    CHECK(reply.value().head.fields.has("Retry-After"));
    CHECK(bootTime() - before < 200ms);
}

TEST_CASE_METHOD(ForwardingFixture, "Request without a route is answered with 404")
{
    CHECK(ask("GET", "/gone/x").value().head.status == 404);
}

TEST_CASE_METHOD(ForwardingFixture, "Request that is unanswered at its caller's deadline ends then")
{
    addServer("s1", std::nullopt, [](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> {
        co_await sleepFor(3s);
        co_return false;
    });
    const auto before = bootTime();
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 504);
    CHECK(bootTime() - before > 900ms);
    CHECK(bootTime() - before < 1300ms);
}

TEST_CASE_METHOD(
    ForwardingFixture, "Response to an earlier request on the connection is not taken for this one's")
{
    addServer("s1", std::nullopt,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            auto stray = request;
            stray.set("Request-Id", "another");
            co_await LoopbackServer::write(
                socket, answerText(stray, 200, "theirs") + answerText(request, 200, "mine"));
            co_return true;
        });
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == "mine");
}

TEST_CASE_METHOD(ForwardingFixture, "Server removed while connecting to it leads to a refusal")
{
    BackendRecord record;
    record.id = BackendId("s-gone");
    record.service = ServiceName("desk");
    // Reserved for documentation (RFC 5737): nothing answers there.
    record.address = Address { "192.0.2.1", 9 };
    record.slots = 6;
    backends.put(record);
    boost::asio::steady_timer timer(loop);
    timer.expires_after(50ms);
    timer.async_wait([&](const boost::system::error_code&) { backends.remove(record.id); });
    const auto reply = ask("GET", "/safe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 503);
}

TEST_CASE_METHOD(StreamFixture,
    "Stream, with a decode engine that refuses connections, goes to another with the same prefill")
{
    addAbsentServer("a1", EngineRole::Decode);
    addAbsentServer("a2", EngineRole::Decode);
    addServer("d", EngineRole::Decode, stream(2, 2));
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(servers.front()->requests == 1);
    CHECK(sources.size() == 1);
}

TEST_CASE_METHOD(
    StreamFixture, "Stream without a reachable decode engine is refused at once and not prefilled")
{
    addAbsentServer("a1", EngineRole::Decode);
    ask("POST", "/once/x");
    const int prefills = servers.front()->requests;
    const auto before = bootTime();
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 503);
    CHECK(reply.value().head.fields.has("Retry-After"));
    CHECK(bootTime() - before < 100ms);
    CHECK(servers.front()->requests == prefills);
}

TEST_CASE_METHOD(StreamFixture, "Stream prefilled on one engine is decoded on another from its KV cache")
{
    addServer("d", EngineRole::Decode, stream(3, 3));
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(reply.value().body == event(1) + event(2) + event(3));
    REQUIRE(sources.size() == 1);
    CHECK(sources[0].find("/h1") != std::string::npos);
}

TEST_CASE_METHOD(StreamFixture,
    "Stream with a short prompt, while prefill engines are busy, is prefilled on its decode engine")
{
    changeRoutes([](Route& each) { each.gapTarget = 400ms; });
    addServer("d", EngineRole::Decode, stream(3, 3));
    const ScopedLoad busy(backends, BackendId("p"), BackendLoad { 500, 0, 0 });
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2) + event(3));
    CHECK(servers.front()->requests == 0);
    REQUIRE(sources.size() == 1);
    CHECK(sources[0].empty());
    // The prefill load of the engine is released.
    CHECK(backends.find(BackendId("d"))->localLoad.prefillMs == 0);
}

TEST_CASE_METHOD(
    StreamFixture, "Stream that gets no slot before its deadline is refused at once and not prefilled")
{
    addServer("d", EngineRole::Decode, stream(3, 3));
    const ScopedLoad busy(backends, BackendId("d"), BackendLoad { 0, 400, 0 });
    const auto before = bootTime();
    const auto reply = ask("POST", "/once/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 503);
    CHECK(reply.value().head.fields.has("Retry-After"));
    CHECK(bootTime() - before < 100ms);
    CHECK(servers.front()->requests == 0);
}

TEST_CASE_METHOD(StreamFixture, "Stream that waits for a slot longer than the idle timeout is not retried")
{
    changeRoutes([](Route& each) { each.timeout = 5s; });
    const auto waits
        = [this](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
        priorities.emplace_back(request["Request-Priority"]);
        co_await sleepFor(1300ms);
        co_return co_await stream(2, 2)(request, socket);
    };
    addServer("d1", EngineRole::Decode, waits);
    addServer("d2", EngineRole::Decode, waits);
    const ScopedLoad first(backends, BackendId("d1"), BackendLoad { 0, 300, 0 });
    const ScopedLoad second(backends, BackendId("d2"), BackendLoad { 0, 300, 0 });
    const auto reply = ask("POST", "/stream/x", "4000");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2));
    // The stream cannot meet its target, so it is deferred.
    CHECK(priorities == std::vector<std::string> { "9" });
}

TEST_CASE_METHOD(StreamFixture,
    "Started stream that pauses longer than the idle timeout, without another engine, continues")
{
    changeRoutes([](Route& each) { each.timeout = 5s; });
    addServer("d", EngineRole::Decode,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            co_await LoopbackServer::write(socket, streamHead(request) + chunk(event(1)));
            co_await sleepFor(1300ms);
            co_await LoopbackServer::write(socket, chunk(event(2)) + "0\r\n\r\n");
            co_return true;
        });
    const auto reply = ask("POST", "/stream/x", "4000");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2));
    CHECK(servers.back()->requests == 1);
}

TEST_CASE_METHOD(
    StreamFixture, "Resumable stream that breaks continues on another engine without gaps or repeats")
{
    addServer("d1", EngineRole::Decode, stream(4, 2));
    addServer("d2", EngineRole::Decode, stream(4, 4));
    const auto reply = ask("POST", "/stream/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2) + event(3) + event(4));
    CHECK(resumedAfter.back() == (resumedAfter.size() == 2 ? "2" : ""));
}

TEST_CASE_METHOD(StreamFixture, "Stream that is not resumable and breaks does not look complete")
{
    addServer("d1", EngineRole::Decode, stream(4, 2));
    addServer("d2", EngineRole::Decode, stream(4, 2));
    CHECK_FALSE(ask("POST", "/once/x").ok());
    CHECK(resumedAfter.size() == 1);
}

TEST_CASE_METHOD(StreamFixture, "Stream, refused by a decode engine that did not run it, is not lost")
{
    auto& full = addServer("d1", EngineRole::Decode, whole(503, "", notRun));
    addServer("d2", EngineRole::Decode, stream(2, 2));
    const auto reply = ask("POST", "/stream/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(full.requests <= 1);
}

TEST_CASE_METHOD(StreamFixture,
    "Stream, refused by every decode engine, charges the retry budget for prefills and decodes")
{
    for (const char* id : { "d1", "d2", "d3", "d4" })
        addServer(id, EngineRole::Decode, whole(503, "", notRun));
    for (const char* id : { "p2", "p3", "p4" })
        addServer(id, EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    int requests = 0;
    // Sends beyond the first prefill and the first decode of each request.
    const auto further = [&] {
        int sends = 0;
        // DELETE requests, which free handles, do not count.
        for (const auto& server : servers)
            sends += server->requestsByMethod["POST"];
        return sends - 2 * requests;
    };
    for (; requests < 20; ++requests) {
        const auto reply = ask("POST", "/stream/x");
        REQUIRE(reply.ok());
        CHECK(reply.value().head.status == 503);
    }
    runFor(50ms);
    CHECK(further() > 0);
    CHECK(further() <= 0.2 * requests + bounds().minRetries);
}

TEST_CASE_METHOD(ForwardingFixture, "Success without its server's signature is not delivered")
{
    addServer("s1", std::nullopt, whole(200, "forged", ""));
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 502);
}

namespace {

// Servers that terminate when they run a request for the marked path.
class CrashingFixture : public StreamFixture {
public:
    // A server that answers, but terminates on the marked path.
    LoopbackServer& addCrashingServer(const std::string& id, std::optional<EngineRole> role)
    {
        const auto index = servers.size();
        return addServer(id, role,
            [this, index, role](
                const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                const bool marked = request.target().find("marked") != std::string_view::npos;
                if (marked && role == crashingRole) {
                    ++ended;
                    servers[index]->end();
                    co_return false;
                }
                if (role) {
                    const auto answer = stream(1, 1);
                    co_return co_await answer(request, socket);
                }
                co_await LoopbackServer::write(socket, answerText(request, 200, "fine"));
                co_return true;
            });
    }

    int sends() const
    {
        int all = 0;
        for (const auto& server : servers)
            all += server->requests;
        return all;
    }

    int status(const std::string& method, const std::string& target)
    {
        const auto reply = ask(method, target);
        return reply.ok() ? reply.value().head.status : 0;
    }

    // The role of the servers that terminate; plain servers have none.
    std::optional<EngineRole> crashingRole;
    int ended = 0;
};

} // namespace

TEST_CASE_METHOD(
    CrashingFixture, "Safe request that crashed three servers is refused at once and reaches no other")
{
    for (int i = 0; i < 8; ++i)
        addCrashingServer("s" + std::to_string(i), std::nullopt);
    for (int i = 0; i < 6; ++i) {
        ask("GET", "/safe/marked");
        runFor(50ms);
    }
    CHECK(ended == 3);
    const int before = sends();
    const auto reply = ask("GET", "/safe/marked");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 503);
    CHECK(reply.value().head.fields.has("Retry-After"));
    CHECK(reply.value().body.find(R"("run":"no")") != std::string::npos);
    CHECK(sends() == before);
    CHECK(status("GET", "/safe/other") == 200);
}

TEST_CASE_METHOD(
    CrashingFixture, "Unsafe request that crashed three servers is refused at once and reaches no other")
{
    for (int i = 0; i < 8; ++i)
        addCrashingServer("s" + std::to_string(i), std::nullopt);
    for (int i = 0; i < 8; ++i) {
        ask("POST", "/unsafe/marked");
        runFor(50ms);
    }
    CHECK(ended == 3);
    CHECK(status("POST", "/unsafe/marked") == 503);
    CHECK(status("POST", "/unsafe/other") == 200);
}

TEST_CASE_METHOD(CrashingFixture, "Stream that crashed three decode engines is refused before its prefill")
{
    crashingRole = EngineRole::Decode;
    for (int i = 0; i < 8; ++i)
        addCrashingServer("d" + std::to_string(i), EngineRole::Decode);
    for (int i = 0; i < 6; ++i) {
        ask("POST", "/stream/marked");
        runFor(50ms);
    }
    CHECK(ended == 3);
    const int before = sends();
    CHECK(status("POST", "/stream/marked") == 503);
    CHECK(sends() == before);
    CHECK(status("POST", "/stream/other") == 200);
}

TEST_CASE_METHOD(CrashingFixture, "Stream that crashed three prefill engines reaches no other")
{
    crashingRole = EngineRole::Prefill;
    for (int i = 0; i < 8; ++i)
        addCrashingServer("q" + std::to_string(i), EngineRole::Prefill);
    addCrashingServer("d", EngineRole::Decode);
    for (int i = 0; i < 8; ++i) {
        ask("POST", "/once/marked");
        runFor(50ms);
    }
    CHECK(ended == 3);
}

TEST_CASE_METHOD(
    CrashingFixture, "Request whose responses are lost by servers that stay alive is never suspected")
{
    const auto lose
        = [](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> { co_return false; };
    addServer("s1", std::nullopt, lose);
    addServer("s2", std::nullopt, lose);
    for (int i = 0; i < 10; ++i) {
        CHECK(status("GET", "/safe/x") == 502);
        runFor(400ms);
    }
    CHECK(crashes.size() == 0);
}

TEST_CASE_METHOD(CrashingFixture, "Request, lost with a server that was leaving, is not suspected")
{
    for (const char* id : { "s1", "s2" }) {
        const auto index = servers.size();
        addServer(
            id, std::nullopt, [this, index](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> {
                auto record = backends.find(BackendId(index == 1 ? "s1" : "s2"))->record;
                record.draining = true;
                backends.put(record);
                servers[index]->end();
                co_return false;
            });
    }
    CHECK(status("GET", "/safe/x") == 502);
    runFor(100ms);
    CHECK(crashes.size() == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
    "Server that announces its leaving, in a response of any status, gets no further request")
{
    const int status = GENERATE(200, 404, 500, 503);
    auto& leaving = addServer("s1", std::nullopt,
        whole(status, "last",
            "Response-Signature: s\r\nServer-Leaving: 1\r\n" + (status == 503 ? notRun : "")));
    while (leaving.requests == 0)
        ask("POST", "/unsafe/x");
    auto& other = addServer("s2", std::nullopt, whole(200, "fine"));
    for (int i = 0; i < 5; ++i)
        CHECK(ask("POST", "/unsafe/x").value().body == "fine");
    CHECK(leaving.requests == 1);
    CHECK(other.requests == 5);
}

TEST_CASE_METHOD(
    StreamFixture, "Engines that announce their leaving, in a prefill or a stream, get no further request")
{
    const std::string leaves = "Server-Leaving: 1\r\n";
    servers.clear();
    backends.remove(BackendId("p"));
    const std::string handle = R"({"kvHandle":"h1","tokens":1000,"version":1})";
    auto& prefill = addServer("p1", EngineRole::Prefill, whole(200, handle, leaves));
    auto& decode = addServer("d1", EngineRole::Decode,
        [](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            auto head = streamHead(request);
            head.insert(head.find("Content-Type"), "Server-Leaving: 1\r\n");
            co_await LoopbackServer::write(socket, head + chunk(event(1)) + "0\r\n\r\n");
            co_return true;
        });
    CHECK(ask("POST", "/once/x").value().head.status == 200);
    addServer("p2", EngineRole::Prefill, whole(200, handle, ""));
    addServer("d2", EngineRole::Decode, stream(1, 1));
    for (int i = 0; i < 3; ++i)
        CHECK(ask("POST", "/once/x").value().head.status == 200);
    CHECK(prefill.requestsByMethod["POST"] == 1);
    CHECK(decode.requests == 1);
}

TEST_CASE_METHOD(
    StreamFixture, "Prefill of an engine that announced its leaving long ago is repeated on another")
{
    servers.clear();
    backends.remove(BackendId("p"));
    const std::string handle = R"({"kvHandle":"h1","tokens":1000,"version":1})";
    for (const std::string id : { "p1", "p2" })
        addServer(id, EngineRole::Prefill,
            [this, id, handle](
                const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                // Another host learned of it while the first engine was prefilling.
                if (backends.leavingSince(heard).empty() && left.empty()) {
                    left = id;
                    backends.noteLeaving(
                        lifetimeOf(backends.find(BackendId(id))->record), { bootTime() - 2s, false });
                }
                co_await LoopbackServer::write(socket, answerText(request, 200, handle, ""));
                co_return true;
            });
    addServer("d", EngineRole::Decode, stream(2, 2));
    addServer("d2", EngineRole::Decode, stream(2, 2));
    const auto reply = ask("POST", "/stream/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    REQUIRE(sources.size() == 1);
    const auto leaver = backends.find(BackendId(left))->record.address.text();
    CHECK(sources[0].find(leaver + "/") == std::string::npos);
}

TEST_CASE_METHOD(ForwardingFixture,
    "Server that sends Retry-After gets no request until then, and callers get Retry-After")
{
    auto& full = addServer("s1", std::nullopt, whole(503, "", notRun + "Retry-After: 0.4\r\n"));
    const auto first = ask("GET", "/safe/x");
    CHECK(first.value().head.status == 503);
    for (int i = 0; i < 3; ++i) {
        const auto before = bootTime();
        const auto reply = ask("GET", "/safe/x");
        CHECK(reply.value().head.status == 503);
        REQUIRE(reply.value().head.fields.has("Retry-After"));
        const double seconds = std::stod(*reply.value().head.fields.find("Retry-After"));
        CHECK(seconds > 0.3);
        CHECK(seconds < 0.45);
        CHECK(bootTime() - before < 50ms);
    }
    CHECK(full.requests == 1);
    runFor(500ms);
    ask("GET", "/safe/x");
    CHECK(full.requests == 2);
}

TEST_CASE_METHOD(ForwardingFixture, "Server with an invalid Retry-After is treated as full")
{
    const auto* value = GENERATE("-1", "soon", "nan", "");
    auto& full = addServer("s1", std::nullopt, whole(503, "", notRun + "Retry-After: " + value + "\r\n"));
    CHECK(ask("GET", "/safe/x").value().head.status == 503);
    runFor(100ms);
    CHECK(ask("GET", "/safe/x").value().head.status == 503);
    CHECK(full.requests == 2);
}

TEST_CASE_METHOD(
    ForwardingFixture, "Server that sends Retry-After, while others have capacity, causes no refusals")
{
    addServer("s1", std::nullopt, whole(503, "", notRun + "Retry-After: 5\r\n"));
    addServer("s2", std::nullopt, whole(200, "fine"));
    for (int i = 0; i < 10; ++i)
        CHECK(ask("POST", "/unsafe/x").value().head.status == 200);
    CHECK(servers.front()->requests <= 1);
}

TEST_CASE_METHOD(CrashingFixture, "Suspect whose server is removed while the lock is unavailable is refused")
{
    addCrashingServer("s0", std::nullopt);
    const auto content = contentOf({ {}, "h", { "GET", "/safe/marked", {} }, "", {}, {}, "" });
    for (int number = 0; number < 2; ++number) {
        ServerEnd end;
        end.server = { BackendId("old" + std::to_string(number)), 1 };
        end.step = number;
        crashes.noteEnd(content, end);
    }
    context.suspectLock.acquire = [this](CrashSubject, BackendId server) -> awaitable<SuspectLockResult> {
        backends.remove(server);
        co_return SuspectLockResult::Unavailable;
    };
    CHECK(status("GET", "/safe/marked") == 503);
    CHECK(ended == 0);
}

TEST_CASE_METHOD(ForwardingFixture, "Server that names a limit gets no more, and callers are refused at once")
{
    auto& limited
        = addServer("s1", std::nullopt, whole(200, "fine", "Response-Signature: s\r\nServer-Limit: 1\r\n"));
    CHECK(ask("POST", "/unsafe/x").value().head.status == 200);
    const auto before = bootTime();
    for (int i = 0; i < 20; ++i) {
        const auto reply = ask("POST", "/unsafe/x");
        if (reply.value().head.status == 200)
            continue;
        CHECK(reply.value().head.status == 503);
        REQUIRE(reply.value().head.fields.has("Retry-After"));
        CHECK(std::stod(*reply.value().head.fields.find("Retry-After")) >= 0.1);
    }
    CHECK(bootTime() - before < 1s);
    CHECK(limited.requests <= 4);
}

TEST_CASE_METHOD(ForwardingFixture, "Server that names a limit, beside one without, causes no refusals")
{
    auto& limited
        = addServer("s1", std::nullopt, whole(200, "fine", "Response-Signature: s\r\nServer-Limit: 0.5\r\n"));
    addServer("s2", std::nullopt, whole(200, "fine"));
    for (int i = 0; i < 30; ++i)
        CHECK(ask("POST", "/unsafe/x").value().head.status == 200);
    CHECK(limited.requests <= 4);
}

TEST_CASE_METHOD(ForwardingFixture, "Server that no longer names its limit gets all requests again")
{
    int named = 1;
    auto& server = addServer("s1", std::nullopt,
        [&named](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            const std::string limit = named-- > 0 ? "Server-Limit: 5\r\n" : "";
            co_await LoopbackServer::write(
                socket, answerText(request, 200, "fine", "Response-Signature: s\r\n" + limit));
            co_return true;
        });
    while (server.requests < 2) {
        ask("POST", "/unsafe/x");
        runFor(50ms);
    }
    for (int i = 0; i < 10; ++i)
        CHECK(ask("POST", "/unsafe/x").value().head.status == 200);
}

TEST_CASE_METHOD(ForwardingFixture, "Server with an unusable limit has its responses delivered")
{
    const auto* value = GENERATE("many", "nan", "", "1e300", "inf");
    addServer("s1", std::nullopt,
        whole(200, "fine", std::string("Response-Signature: s\r\nServer-Limit: ") + value + "\r\n"));
    for (int i = 0; i < 5; ++i)
        CHECK(ask("POST", "/unsafe/x").value().body == "fine");
}

TEST_CASE_METHOD(StreamFixture, "Engines that name limits, in a prefill or a stream, get no more of either")
{
    const std::string limit = "Server-Limit: 0.2\r\n";
    servers.clear();
    backends.remove(BackendId("p"));
    const std::string handle = R"({"kvHandle":"h1","tokens":1000,"version":1})";
    auto& prefill = addServer("p1", EngineRole::Prefill, whole(200, handle, limit));
    auto& decode = addServer("d1", EngineRole::Decode,
        [limit](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            auto head = streamHead(request);
            head.insert(head.find("Content-Type"), limit);
            co_await LoopbackServer::write(socket, head + chunk(event(1)) + "0\r\n\r\n");
            co_return true;
        });
    CHECK(ask("POST", "/once/x").value().head.status == 200);
    const auto before = bootTime();
    for (int i = 0; i < 10; ++i)
        ask("POST", "/once/x");
    CHECK(bootTime() - before < 1s);
    CHECK(prefill.requestsByMethod["POST"] <= 3);
    CHECK(decode.requests <= 3);
    // Both roles have room elsewhere now.
    addServer("p2", EngineRole::Prefill, whole(200, handle, ""));
    addServer("d2", EngineRole::Decode, stream(1, 1));
    for (int i = 0; i < 10; ++i)
        CHECK(ask("POST", "/once/x").value().head.status == 200);
    CHECK(decode.requests <= 4);
}

TEST_CASE_METHOD(StreamFixture, "Stream that broke off is not resumed at an engine whose limit is reached")
{
    servers.clear();
    backends.remove(BackendId("p"));
    addServer("p1", EngineRole::Prefill, whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", ""));
    auto& limited = addServer("d1", EngineRole::Decode, stream(2, 2));
    for (int i = 0; i < 200; ++i)
        backends.limits().hasRoom(
            lifetimeOf(backends.find(BackendId("d1"))->record), ServiceName("llm"), bootTime());
    backends.limits().noteResponse(
        lifetimeOf(backends.find(BackendId("d1"))->record), RequestRate(0.1), bootTime(), bootTime());
    addServer("d2", EngineRole::Decode, stream(2, 1));
    ask("POST", "/stream/x");
    CHECK(limited.requests == 0);
}

TEST_CASE_METHOD(ForwardingFixture,
    "Request behind others that wait for a limited server is served by one without a limit")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    backends.limits().noteResponse(
        lifetimeOf(backends.find(BackendId("s1"))->record), RequestRate(0.1), bootTime(), bootTime());
    const RoomQueue::Place ahead(context.roomQueue, { ServiceName("desk"), std::nullopt }, Priority(-1));
    CHECK(ask("POST", "/unsafe/x").value().head.status == 503);
    addServer("s2", std::nullopt, whole(200, "fine"));
    CHECK(ask("POST", "/unsafe/x").value().head.status == 200);
}

TEST_CASE_METHOD(ForwardingFixture,
    "Earlier refusal, written again on a kept connection, is not taken for the answer to the next request")
{
    const std::string id = GENERATE("", "Request-Id: another\r\n");
    auto& server = addServer("s1", std::nullopt,
        [this, id](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            const std::string refusal
                = "HTTP/1.1 503 X\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            std::string text;
            if (servers.front()->requests > 1)
                text = refusal + answerText(request, 200, "mine");
            else
                text = answerText(request, 200, "first");
            co_await LoopbackServer::write(socket, text);
            co_return true;
        });
    CHECK(ask("POST", "/unsafe/x").value().body == "first");
    const auto reply = ask("POST", "/unsafe/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().head.status == 200);
    CHECK(reply.value().body == "mine");
    CHECK(server.requests == 2);
}

TEST_CASE_METHOD(
    StreamFixture, "Stream that broke off, resumed at an engine that answers with an error, is not completed")
{
    const auto error
        = GENERATE(as<std::string>(), "HTTP/1.1 500 X\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n",
            "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n", "HTTP/1.1 404 X\r\nRequest-Id: r1\r\n",
            "HTTP/1.1 200 X\r\nRequest-Id: r1\r\n");
    int asked = 0;
    for (const auto* id : { "d1", "d2" }) {
        addServer(id, EngineRole::Decode,
            [this, error, &asked](
                const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                if (asked++ == 0)
                    co_return co_await stream(6, 2)(request, socket);
                co_await LoopbackServer::write(socket, error + "Content-Length: 14\r\n\r\nerror: full\n\n\n");
                co_return true;
            });
    }
    const auto reply = ask("POST", "/stream/x");
    CHECK(asked == 2);
    // The connection is closed before the stream is complete.
    CHECK_FALSE(reply.ok());
}
TEST_CASE_METHOD(
    StreamFixture, "Stream without a length that ends before its first event, is broken off and not complete")
{
    int asked = 0;
    for (const auto* id : { "d1", "d2" }) {
        addServer(id, EngineRole::Decode,
            [this, &asked](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                if (asked++ > 0)
                    co_return co_await stream(2, 2)(request, socket);
                co_await LoopbackServer::write(socket,
                    "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
                co_return false;
            });
    }
    const auto reply = ask("POST", "/stream/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2));
    CHECK(asked == 2);
}

TEST_CASE_METHOD(StreamFixture, "Stream without a length that ends after an event, is delivered whole")
{
    addServer(
        "d1", EngineRole::Decode, [](const LoopbackServer::Request&, tcp::socket& socket) -> awaitable<bool> {
            co_await LoopbackServer::write(socket,
                "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                    + event(1) + event(2));
            co_return false;
        });
    const auto reply = ask("POST", "/stream/x");
    REQUIRE(reply.ok());
    CHECK(reply.value().body == event(1) + event(2));
}

TEST_CASE_METHOD(
    CrashingFixture, "Prompts with a part that crashed three engines, are refused at once and unread")
{
    int crashed = 0;
    for (int i = 0; i < 6; ++i)
        addServer("d" + std::to_string(i), EngineRole::Decode,
            [this, &crashed](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                if (request["Prefix-Hash"].find("bad:") == std::string_view::npos)
                    co_return co_await stream(1, 1)(request, socket);
                co_await LoopbackServer::write(socket, streamHead(request));
                ++crashed;
                for (const auto& server : servers) {
                    if (server->requests > 0 && server != servers.front())
                        server->end();
                }
                co_return false;
            });
    const auto askFor = [this](const std::string& parts, int number) {
        HttpRequestHead head { "POST", "/once/" + std::to_string(number), {} };
        head.fields.add("Host", "h");
        head.fields.add("Request-Id", "r1");
        head.fields.add("Deadline-Ms", "1000");
        head.fields.add("Token-Count", "1000,20");
        head.fields.add("Prefix-Hash", parts + ",f" + std::to_string(number) + ":200");
        const auto reply = askHead(std::move(head));
        return reply.ok() ? reply.value().head.status : 0;
    };
    for (int i = 0; i < 3; ++i) {
        CHECK(askFor("aa:400,bad:400", i) != 200);
        runFor(300ms);
    }
    CHECK(crashed == 3);
    const int before = sends();
    for (int i = 3; i < 6; ++i) {
        const auto askedAt = bootTime();
        CHECK(askFor("aa:400,bad:400", i) == 503);
        CHECK(bootTime() - askedAt < 50ms);
    }
    CHECK(sends() == before);
    CHECK(askFor("aa:400,cc:400", 6) == 200);
}
