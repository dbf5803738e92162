#include "Platform/PlatformClient.h"

#include "ScriptedServer.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace almondscale;
using almondscale::test::ScriptedServer;

namespace {

constexpr Nanoseconds callTimeout = std::chrono::seconds(20);
constexpr Nanoseconds shortTimeout = std::chrono::milliseconds(200);

std::string makeResponse(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

Address local(unsigned short port) { return { "127.0.0.1", port }; }

WriteResult writeTo(
    const ScriptedServer& server, Nanoseconds timeout = callTimeout, const std::string& value = "v")
{
    const PlatformClient client(local(server.port()), timeout);
    return client.table().compareAndSet("a/b", value, RowVersion(3), WriterId("w"));
}

Result<std::optional<TableRow>> readFrom(const ScriptedServer& server)
{
    return PlatformClient(local(server.port()), callTimeout).table().read("a/b");
}

const std::string row = R"({"key":"a/b","value":"x\"\n","version":4,"writer":"w2"})";

} // namespace

TEST_CASE("PlatformClient, read, returns the row, no row or an error")
{
    const auto found = readFrom(ScriptedServer(makeResponse(200, row)));
    REQUIRE(found.ok());
    REQUIRE(found.value());
    CHECK(found.value()->value == "x\"\n");
    CHECK(found.value()->version == RowVersion(4));
    CHECK(found.value()->writer == WriterId("w2"));
    const auto absent = readFrom(ScriptedServer(makeResponse(404, "{}")));
    CHECK((absent.ok() && !absent.value()));
    CHECK(readFrom(ScriptedServer(makeResponse(503, ""))).kind() == ErrorKind::PlatformUnavailable);
    CHECK(readFrom(ScriptedServer(makeResponse(200, "{\"key\":"))).kind() == ErrorKind::PlatformUnavailable);
    CHECK(readFrom(ScriptedServer("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + row)).kind()
        == ErrorKind::PlatformUnavailable);
}

TEST_CASE("PlatformClient, write with a response, returns the version or the conflicting row")
{
    const ScriptedServer applied(makeResponse(200, R"({"version":4})"));
    const auto result = writeTo(applied);
    CHECK(result.outcome == WriteOutcome::Applied);
    CHECK(result.version == RowVersion(4));
    CHECK(applied.requests() == 1);
    CHECK(applied.lastRequest().find("PUT /table/a/b ") == 0);
    CHECK(applied.lastRequest().find(R"({"value":"v","expected":3,"writer":"w"})") != std::string::npos);

    const auto conflict = writeTo(ScriptedServer(makeResponse(409, row)));
    CHECK(conflict.outcome == WriteOutcome::Conflict);
    REQUIRE(conflict.current);
    CHECK(conflict.current->writer == WriterId("w2"));
    const auto absent = writeTo(ScriptedServer(makeResponse(409, "{}")));
    CHECK(absent.outcome == WriteOutcome::Conflict);
    CHECK_FALSE(absent.current);
}

TEST_CASE("PlatformClient, conflict with the same write, is reported as applied")
{
    const ScriptedServer server(makeResponse(409, R"({"key":"a/b","value":"v","version":4,"writer":"w"})"));
    const auto result = writeTo(server);
    CHECK(result.outcome == WriteOutcome::Applied);
    CHECK(result.version == RowVersion(4));
}

TEST_CASE("PlatformClient, write answered by 503 or with its connection refused, is reported as not applied")
{
    CHECK(writeTo(ScriptedServer(makeResponse(503, ""))).outcome == WriteOutcome::NotApplied);
    auto closedServer = std::make_unique<ScriptedServer>("");
    const auto port = closedServer->port();
    closedServer.reset();
    const PlatformClient client(local(port), callTimeout);
    const auto result = client.table().compareAndSet("a", "v", RowVersion(0), WriterId("w"));
    CHECK(result.outcome == WriteOutcome::NotApplied);
}

TEST_CASE("PlatformClient, write whose response is missing, truncated, late or malformed, is unknown")
{
    CHECK(writeTo(ScriptedServer("")).outcome == WriteOutcome::Unknown);
    CHECK(writeTo(ScriptedServer("HTTP/1.1 200 OK\r\nContent-Le")).outcome == WriteOutcome::Unknown);
    CHECK(writeTo(ScriptedServer("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"ver")).outcome
        == WriteOutcome::Unknown);
    CHECK(writeTo(ScriptedServer(makeResponse(200, "{}"))).outcome == WriteOutcome::Unknown);
    CHECK(writeTo(ScriptedServer(makeResponse(500, ""))).outcome == WriteOutcome::Unknown);
    CHECK(writeTo(ScriptedServer("", true), shortTimeout).outcome == WriteOutcome::Unknown);
}

TEST_CASE("PlatformClient, write of 3 MB that gets no response, is unknown")
{
    const std::string value(3'000'000, 'x');
    const ScriptedServer server("");
    CHECK(writeTo(server, callTimeout, value).outcome == WriteOutcome::Unknown);
    CHECK(server.lastRequest().size() > value.size());
}

TEST_CASE("PlatformClient, host list, returns hosts and backend servers with their states")
{
    const std::string list = R"({"hosts":[{"id":"h1","data_centre":"north","control_address":"10.0.0.1:7",)"
                             R"("state":"live"},{"id":"h2","data_centre":"south",)"
                             R"("control_address":"10.0.0.2:7","state":"leaving"}],)"
                             R"("backends":[{"id":"e1","address":"10.0.0.3:8","state":"leaving"}]})";
    const ScriptedServer server(makeResponse(200, list));
    const auto hosts = PlatformClient(local(server.port()), callTimeout).hosts();
    REQUIRE(hosts.ok());
    REQUIRE(hosts.value().hosts.size() == 2);
    CHECK(hosts.value().hosts[1].leaving);
    CHECK(hosts.value().hosts[0].controlAddress.text() == "10.0.0.1:7");
    REQUIRE(hosts.value().backends.size() == 1);
    CHECK(hosts.value().backends[0].leaving);
}
