#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// A host whose callers have keys; "north" has the key "n1" and the priority 0.
class KeyFixture : public ForwardingFixture {
public:
    KeyFixture()
    {
        setKeys({ "n1" });
        context.keyTrust = [this] { return trust; };
        context.onKeyRefusal = [this](ErrorKind kind) { refusals.push_back(kind); };
    }

    void setKeys(const std::vector<std::string>& keys)
    {
        auto manifest = *routes.manifest();
        ++manifest.version;
        OrganisationSpec north { Organisation("north"), {}, Priority(0) };
        for (const auto& key : keys)
            north.keys.push_back(KeyDigest::of(key));
        manifest.organisations = { north };
        for (auto& each : manifest.routes) {
            each.priority = Priority(5);
            each.allowAnonymous = each.pathPrefix == "/safe/";
        }
        routes.adopt(manifest);
    }

    Result<HttpReply> askWith(const std::string& method, const std::string& target, const std::string& key)
    {
        auto head = requestHead(method, target);
        head.fields.add("Authorization", "Bearer " + key);
        head.fields.add("Tenant-Id", "forged");
        return askHead(head);
    }

    // Answers as a server that notes what it got.
    LoopbackServer::Answer noting(LoopbackServer::Answer answer)
    {
        return [this, answer = std::move(answer)](
                   const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            gotKey = gotKey || request.count("Authorization") > 0;
            gotOrganisation = std::string(request["Tenant-Id"]);
            gotPriority = std::string(request["Request-Priority"]);
            return answer(request, socket);
        };
    }

    // Answers, and the key is removed before the answer is written.
    LoopbackServer::Answer removingKey(LoopbackServer::Answer answer)
    {
        return [this, answer = std::move(answer)](
                   const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            setKeys({ "n2" });
            return answer(request, socket);
        };
    }

    KeyTrust trust;
    std::vector<ErrorKind> refusals;
    bool gotKey = false;
    std::string gotOrganisation;
    std::string gotPriority;
};

int statusOf(const Result<HttpReply>& reply) { return reply.ok() ? reply.value().head.status : 0; }

} // namespace

TEST_CASE_METHOD(
    KeyFixture, "Server gets the organisation of a request, but neither its key nor a forged name")
{
    addServer("s1", std::nullopt, noting(whole(200, "fine")));
    CHECK(statusOf(askWith("POST", "/unsafe/x", "n1")) == 200);
    CHECK(gotOrganisation == "north");
    CHECK(statusOf(ask("GET", "/safe/x")) == 200);
    CHECK(gotOrganisation.empty());
    CHECK_FALSE(gotKey);
}

TEST_CASE_METHOD(
    KeyFixture, "Request with an unknown key, or without a needed one, gets 401 and reaches no server")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    CHECK(statusOf(askWith("POST", "/unsafe/x", "n2")) == 401);
    CHECK(statusOf(askWith("GET", "/safe/x", "n2")) == 401);
    const auto reply = ask("POST", "/unsafe/x");
    CHECK(statusOf(reply) == 401);
    CHECK_FALSE(reply.value().head.fields.has("Retry-After"));
    CHECK(statusOf(askWith("POST", "/nowhere/x", "n2")) == 404);
    CHECK(server.requests == 0);
    CHECK(refusals == std::vector<ErrorKind>(3, ErrorKind::Unauthorised));
}

TEST_CASE_METHOD(KeyFixture, "Engine gets the priority of the organisation instead of the route's")
{
    addServer("p", EngineRole::Prefill, noting(whole(503, "", "Not-Executed: 1\r\n")));
    addServer("d", EngineRole::Decode, whole(503, "", "Not-Executed: 1\r\n"));
    askWith("POST", "/stream/x", "n1");
    CHECK(gotPriority == "0");
    CHECK(gotOrganisation == "north");
}

// The length of the body would otherwise be read as the beginning of the next response.
TEST_CASE_METHOD(
    KeyFixture, "HEAD request that is refused gets no body, and the connection serves the next request")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    tcp::socket caller(loop);
    caller.connect(tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port));
    const std::string fields = " HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n";
    boost::asio::write(caller,
        boost::asio::buffer("HEAD /unsafe/x" + fields + "\r\nGET /safe/x" + fields + "\r\nGET /safe/x"
            + fields + "Authorization: Bearer n2\r\n\r\n"));
    runFor(200ms);
    std::string text(4096, '\0');
    text.resize(caller.read_some(boost::asio::buffer(text)));
    CHECK(text.find("HTTP/1.1 401") == 0);
    const auto headEnd = text.find("\r\n\r\n") + 4;
    CHECK(text.compare(headEnd, 12, "HTTP/1.1 200") == 0);
    CHECK(text.find("HTTP/1.1 401", headEnd) != std::string::npos);
}

TEST_CASE_METHOD(KeyFixture, "Request whose key is removed while it waits gets 401 and is not sent")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    // Runs after the request has been read and while it waits for a connection.
    context.keyTrust = [this] {
        boost::asio::post(loop, [this] { setKeys({ "n2" }); });
        return trust;
    };
    CHECK(statusOf(askWith("POST", "/unsafe/x", "n1")) == 401);
    CHECK(server.requests == 0);
}

TEST_CASE_METHOD(
    KeyFixture, "Request whose key is removed after a refused send is refused as not run, without 401")
{
    addServer("s1", std::nullopt, removingKey(whole(503, "", "Not-Executed: 1\r\n")));
    addServer("s2", std::nullopt, removingKey(whole(503, "", "Not-Executed: 1\r\n")));
    const auto reply = askWith("POST", "/unsafe/x", "n1");
    CHECK(statusOf(reply) == 503);
    CHECK(reply.value().body.find("\"run\":\"no\"") != std::string::npos);
    CHECK(servers[0]->requests + servers[1]->requests == 1);
}

TEST_CASE_METHOD(KeyFixture, "Stream whose key is removed during its prefill is not decoded")
{
    addServer("p", EngineRole::Prefill,
        removingKey(whole(200, R"({"kvHandle":"h1","tokens":1000,"version":1})", "")));
    auto& decode = addServer("d", EngineRole::Decode, whole(200, "fine"));
    CHECK(statusOf(askWith("POST", "/stream/x", "n1")) == 503);
    CHECK(decode.requests == 0);
}

TEST_CASE_METHOD(
    KeyFixture, "Host with an old manifest refuses keyed requests, closes, and serves anonymous ones")
{
    auto& server = addServer("s1", std::nullopt, whole(200, "fine"));
    trust = { false, false };
    const auto reply = askWith("POST", "/unsafe/x", "n1");
    CHECK(statusOf(reply) == 503);
    CHECK(reply.value().head.fields.has("Retry-After"));
    CHECK(*reply.value().head.fields.find("Connection") == "close");
    CHECK(reply.value().body.find("\"run\":\"no\"") != std::string::npos);
    CHECK(server.requests == 0);
    CHECK(statusOf(ask("GET", "/safe/x")) == 200);
    CHECK(refusals == std::vector<ErrorKind> { ErrorKind::ManifestTooOld });
}

TEST_CASE_METHOD(
    KeyFixture, "Request that may have run, and is not sent again for an old manifest, is not called not run")
{
    const auto lose = [this](const LoopbackServer::Request&, tcp::socket&) -> awaitable<bool> {
        trust = { false, false };
        co_return false;
    };
    addServer("s1", std::nullopt, lose);
    addServer("s2", std::nullopt, lose);
    const auto reply = askWith("GET", "/safe/x", "n1");
    CHECK(statusOf(reply) == 502);
    CHECK(servers[0]->requests + servers[1]->requests == 1);
}

// Guards against 404 for a route that was added longer ago than the deployment's bound.
TEST_CASE_METHOD(KeyFixture, "Request without a route, by an outdated manifest, gets 503 instead of 404")
{
    ManifestState state { 5, 3s, CopyOrigin::Reader, 3s };
    context.manifestState = [&] { return state; };
    CHECK(statusOf(askWith("GET", "/none/x", "n1")) == 404);
    state.age = 3001ms;
    const auto reply = askWith("GET", "/none/x", "n1");
    CHECK(statusOf(reply) == 503);
    CHECK(reply.value().head.fields.find("Retry-After"));
}

TEST_CASE_METHOD(KeyFixture, "Decision by an outdated manifest is reported, whichever it is")
{
    addServer("s1", std::nullopt, whole(200, "fine"));
    ManifestState state { 5, 2s, CopyOrigin::Reader, 3s };
    context.manifestState = [&] { return state; };
    std::vector<std::string> decisions;
    context.onOutdatedDecision = [&](const char* decision) { decisions.emplace_back(decision); };
    CHECK(statusOf(askWith("GET", "/none/x", "n1")) == 404);
    CHECK(decisions.empty());
    state.age = 4s;
    askWith("GET", "/none/x", "n1");
    CHECK(statusOf(askWith("GET", "/unsafe/x", "other")) == 401);
    askWith("POST", "/unsafe/x", "n1");
    CHECK(decisions == std::vector<std::string> { "manifest_too_old", "unauthorised", "routed" });
}
