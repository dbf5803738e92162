#include "StoreCommands.h"

#include "Authority/LeaseRow.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Serving/HostRecord.h"
#include "Support/LoopbackServer.h"
#include "platform/Base64.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>
#include <thread>

using namespace almondscale;

namespace {

// The text that goes to a standard stream while it lives.
class Capture {
public:
    explicit Capture(std::ostream& stream)
        : m_stream(stream)
        , m_before(stream.rdbuf(m_text.rdbuf()))
    {
    }
    ~Capture() { m_stream.rdbuf(m_before); }
    Capture(const Capture&) = delete;
    Capture& operator=(const Capture&) = delete;

    std::string text() const { return m_text.str(); }

private:
    std::ostringstream m_text;
    std::ostream& m_stream;
    std::streambuf* m_before;
};

// The tool before a store and an engine that answer on a thread of their own.
class StoreCommandsFixture {
public:
    StoreCommandsFixture()
        : m_server(m_loop.get_executor(), m_address,
            [this](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                return answer(request, socket);
            })
    {
        options.store = m_address;
        options.json = true;
        put("servers", "engine-1",
            R"({"service":"llm","address":")" + m_address.text()
                + R"(","zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"stage":"prefill"})");
        put("servers", "engine-2",
            R"({"service":"llm","address":"127.0.0.1:1","zone":"b","version":"v1","slots":64,"state":"draining","coldRemainingMs":0,"sequence":1,"stage":"decode"})");
        put("servers", "broken-1", "no registration");
        LeaseRow lease;
        lease.holder = HostId("n2");
        lease.fencing = FencingToken(9);
        put("almondscale-leases", roleLeaseKey,
            JsonBuilder().text("writer", "w").text("value", encodeLeaseRow(lease)).finish());
        put("op", "config", R"({"version":5,"routes":[],"services":[]})");
        put("almondscale-hosts", "n1",
            encodeHostRecord({ HostId("n1"), DataCentre("a"), { "127.0.0.1", 2 }, 1 }));
    }
    ~StoreCommandsFixture()
    {
        m_loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }
    StoreCommandsFixture(const StoreCommandsFixture&) = delete;
    StoreCommandsFixture& operator=(const StoreCommandsFixture&) = delete;

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        auto& rows = m_rows[table];
        rows += (rows.empty() ? R"({"key":")" : R"(,{"key":")") + key + R"(","value":")"
            + platform::encodeBase64(value) + R"(","rowVersion":1})";
    }

    // Runs the command, and returns what it printed as JSON.
    JsonDocument run(ExitStatus (*command)(const ToolOptions&, const HostConnection&))
    {
        m_thread = std::thread([this] { m_loop.run(); });
        const Capture output(std::cout);
        REQUIRE(command(options, HostConnection({}, {})) == ExitStatus::Success);
        auto json = parseJson(output.text());
        REQUIRE(json);
        return std::move(*json);
    }

    ToolOptions options;

private:
    awaitable<bool> answer(const LoopbackServer::Request& request, tcp::socket& socket)
    {
        const std::string target(request.target());
        if (target == "/almondscale/report") {
            co_await LoopbackServer::write(
                socket, LoopbackServer::response(200, R"({"stage":"decode","busy":true,"sequence":3})"));
            co_return true;
        }
        const std::string mark = "table=";
        const auto from = target.find(mark) + mark.size();
        const auto table = target.substr(from, target.find('&') - from);
        co_await LoopbackServer::write(socket,
            LoopbackServer::response(
                200, R"({"rows":[)" + m_rows[table] + R"(],"hasMore":false,"rowVersion":8})"));
        co_return true;
    }

    Address m_address = freeLoopbackAddress();
    boost::asio::io_context m_loop;
    std::map<std::string, std::string> m_rows;
    LoopbackServer m_server;
    std::thread m_thread;
};

} // namespace

TEST_CASE_METHOD(StoreCommandsFixture, "Store servers lists registrations, the unreadable one too")
{
    const auto json = run(showStoredServers);
    const auto& servers = *jsonMember(json, "servers");
    REQUIRE(servers.Size() == 3);
    CHECK(jsonString(servers[0], "role") == "prefill");
    CHECK(jsonString(servers[0], "state") == "ready");
    CHECK(jsonString(servers[1], "state") == "draining");
    CHECK(jsonString(servers[2], "id") == "broken-1");
    CHECK(jsonString(servers[2], "state") == "unreadable");
}

TEST_CASE_METHOD(StoreCommandsFixture, "Store leases shows the holder and its fencing number")
{
    const auto json = run(showStoredLeases);
    const auto& leases = *jsonMember(json, "leases");
    REQUIRE(leases.Size() == 1);
    CHECK(jsonString(leases[0], "holder") == "n2");
    CHECK(jsonInteger(leases[0], "fencing") == 9);
}

TEST_CASE_METHOD(StoreCommandsFixture, "Store orders asks the engines and names those that do not answer")
{
    const auto json = run(showEngineOrders);
    const auto& engines = *jsonMember(json, "engines");
    REQUIRE(engines.Size() == 2);
    CHECK(jsonString(engines[0], "registered_role") == "prefill");
    CHECK(jsonString(engines[0], "role") == "decode");
    CHECK(jsonInteger(engines[0], "accepted_orders") == 3);
    CHECK(jsonString(engines[0], "state") == "changing");
    CHECK(jsonString(engines[1], "state") == "does not answer");
}

TEST_CASE_METHOD(StoreCommandsFixture, "Store manifest lists the version in force by host")
{
    const auto json = run(showStoredManifest);
    CHECK(jsonInteger(json, "manifest_version") == 5);
    const auto& hosts = *jsonMember(json, "hosts");
    REQUIRE(hosts.Size() == 1);
    CHECK(jsonString(hosts[0], "id") == "n1");
    CHECK(jsonString(hosts[0], "state") == "does not answer");
}

TEST_CASE_METHOD(StoreCommandsFixture, "Store command without a store at the address says what to check")
{
    options.store = freeLoopbackAddress();
    const Capture errors(std::cerr);
    CHECK(showStoredServers(options, HostConnection({}, {})) == ExitStatus::Unreachable);
    CHECK_THAT(errors.text(), Catch::Contains(options.store.text()) && Catch::Contains("Check --store"));
}
