#include "OperatorFrontend.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

class FrontendFixture {
protected:
    OperatorHooks hooks()
    {
        OperatorHooks hooks;
        hooks.shutDown = [this] { ++m_shutDowns; };
        hooks.metrics = [] { return std::string("metric 1\n"); };
        hooks.rulesInForce = [] { return std::optional<RulesChange>(); };
        hooks.order = [this](const EngineId&, OrderKind, const std::string&) {
            ++m_orders;
            return std::error_code();
        };
        hooks.peerCalls["/peer/items"] = [this](const std::string&) {
            ++m_peerCalls;
            return std::optional<std::string>("{}");
        };
        return hooks;
    }

    int ask(const std::string& method, const std::string& path,
        const std::map<std::string, std::string>& headers, const std::string& body = {})
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.headers = headers;
        request.body = body;
        int status = 0;
        ReplyWriter reply;
        reply.send = [&status](const HttpResponse& response) { status = response.status; };
        m_frontend.serve(request, reply);
        return status;
    }

    int m_shutDowns = 0;
    int m_orders = 0;
    int m_peerCalls = 0;
    OperatorFrontend m_frontend { hooks(), [] { return std::vector<std::string> { "operators-key" }; },
        [] {
            return std::vector<std::string> { "peers-key", "" };
        } };
};

const std::map<std::string, std::string> operatorKey { { "x-operator-key", "operators-key" } };
const std::map<std::string, std::string> peerKey { { "x-peer-key", "peers-key" } };

} // namespace

TEST_CASE_METHOD(
    FrontendFixture, "OperatorFrontend, stranger without a key or with the wrong one, commands nothing")
{
    for (const char* path : { "/shutdown", "/engines/order", "/rules/apply" }) {
        CAPTURE(path);
        CHECK(ask("POST", path, {}) == 401);
        CHECK(ask("POST", path, { { "x-operator-key", "" } }) == 401);
        CHECK(ask("POST", path, { { "x-operator-key", "operators-kez" } }) == 401);
        CHECK(ask("POST", path, peerKey) == 401);
    }
    CHECK(ask("POST", "/peer/items", {}) == 401);
    // An unset second key must not let an empty one in.
    CHECK(ask("POST", "/peer/items", { { "x-peer-key", "" } }) == 401);
    CHECK(ask("POST", "/peer/items", operatorKey) == 401);
    CHECK(m_shutDowns + m_orders + m_peerCalls == 0);
}

TEST_CASE_METHOD(FrontendFixture, "OperatorFrontend, right key, commands; metrics need none")
{
    CHECK(ask("POST", "/shutdown", operatorKey) == 202);
    CHECK(m_shutDowns == 1);
    CHECK(ask("POST", "/engines/order", operatorKey, R"({"engine":"e","kind":"role","value":"prefill"})")
        == 202);
    CHECK(
        ask("POST", "/engines/order", operatorKey, R"({"engine":"e","kind":"colour","value":"red"})") == 400);
    CHECK(m_orders == 1);
    CHECK(ask("POST", "/peer/items", peerKey) == 200);
    CHECK(ask("GET", "/metrics", {}) == 200);
    CHECK(ask("GET", "/nothing", operatorKey) == 404);
}
