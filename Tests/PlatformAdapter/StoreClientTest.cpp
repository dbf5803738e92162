#include "platform/StoreClient.h"

#include "Forwarding/BootClock.h"
#include "Support/LoopbackServer.h"
#include "Support/NarrowLink.h"
#include "platform/Base64.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace almondscale;
using namespace almondscale::platform;
using namespace std::chrono_literals;

namespace {

// A client of a store whose responses the test sets.
class StoreClientFixture {
public:
    StoreClientFixture()
        : address(freeLoopbackAddress())
        , pool(loop.get_executor())
        , client(pool, address)
        , store(loop.get_executor(), address,
              [this](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
                  return answer(request, socket);
              })
    {
    }

    awaitable<bool> answer(const LoopbackServer::Request& request, tcp::socket& socket)
    {
        targets.emplace_back(request.target());
        if (unresponsive) {
            co_await sleepFor(3s);
            co_return false;
        }
        co_await LoopbackServer::write(socket, answers.at(std::min(targets.size(), answers.size()) - 1));
        co_return true;
    }

    template <typename T> T run(awaitable<T> call)
    {
        std::optional<T> result;
        spawn(loop.get_executor(), storeInto(std::move(call), result));
        while (!result && loop.run_one() > 0) { }
        return std::move(*result);
    }

    boost::asio::io_context loop;
    Address address;
    ConnectionPool pool;
    StoreClient client;
    std::vector<std::string> answers;
    std::vector<std::string> targets;
    bool unresponsive = false;
    LoopbackServer store;

private:
    template <typename T> static awaitable<void> storeInto(awaitable<T> call, std::optional<T>& result)
    {
        result.emplace(co_await std::move(call));
    }
};

// A client that reaches the store over a link of 400 KB/s.
class NarrowStoreFixture : public StoreClientFixture {
public:
    static constexpr std::size_t rowBytes = 600000;

    NarrowStoreFixture()
        : link(loop.get_executor(), linkAddress, address, 400000)
        , narrowClient(pool, linkAddress)
    {
    }

    Address linkAddress = freeLoopbackAddress();
    NarrowLink link;
    StoreClient narrowClient;
};

} // namespace

TEST_CASE_METHOD(
    NarrowStoreFixture, "Rows that need 1.5 s on a narrow link, once the response has begun, are read")
{
    answers = { LoopbackServer::response(200,
        R"({"rows":[{"key":"a","value":")" + std::string(rowBytes, 'A')
            + R"(","rowVersion":1}],"hasMore":false,"rowVersion":10})") };
    std::optional<MonotonicTime> respondedAt;
    const auto rows = run(narrowClient.readChanges(
        SharedTable::Manifest, RowVersion(0), 0ms, 400ms, [&](MonotonicTime at) { respondedAt = at; }));
    REQUIRE(rows.ok());
    CHECK(rows.value().rows.front().value.size() == rowBytes / 4 * 3);
    REQUIRE(respondedAt);
    CHECK(bootTime() - *respondedAt > 1s);
}

TEST_CASE_METHOD(NarrowStoreFixture, "Rows that need 1.5 s on a narrow link are written")
{
    answers = { LoopbackServer::response(200, R"({"rowVersion":4})") };
    std::vector<RowWrite> rows;
    rows.push_back({ "k", std::string(rowBytes / 4 * 3, 'x'), RowVersion(0), true });
    const auto written = run(narrowClient.writeOwnRows("t", std::move(rows)));
    CHECK(written.outcome == WriteOutcome::Applied);
}

TEST_CASE_METHOD(StoreClientFixture, "Response whose bytes cease, is given up a second later")
{
    auto whole = LoopbackServer::response(200, std::string(1000, ' '));
    answers = { whole.substr(0, whole.size() - 1) };
    const auto beganAt = bootTime();
    CHECK_FALSE(run(client.read(SharedTable::Manifest)).ok());
    CHECK(bootTime() - beganAt > 900ms);
    CHECK(bootTime() - beganAt < 2s);
}

TEST_CASE_METHOD(
    StoreClientFixture, "Table of several pages is read completely, with the version of its first page")
{
    const auto value = encodeBase64("{}");
    answers = { LoopbackServer::response(200,
                    R"({"rows":[{"key":"a","value":")" + value
                        + R"(","rowVersion":1}],"hasMore":true,"rowVersion":10})"),
        LoopbackServer::response(200,
            R"({"rows":[{"key":"a","value":")" + value + R"(","rowVersion":1},{"key":"b","value":")" + value
                + R"(","rowVersion":2}],"hasMore":false,"rowVersion":12})") };
    const auto rows = run(client.read(SharedTable::Backends));
    REQUIRE(rows.ok());
    CHECK(rows.value().whole);
    CHECK(rows.value().rows.size() == 2);
    CHECK(rows.value().newest.version == RowVersion(10));
    CHECK(targets[1] == "/almondscale/rows-get?table=servers&part=&from=a");
}

TEST_CASE_METHOD(StoreClientFixture, "Write without a response times out with an unknown outcome")
{
    unresponsive = true;
    const auto before = bootTime();
    const auto written = run(client.writeHost(HostId("n1"), "{}", RowVersion(0)));
    CHECK(written.outcome == WriteOutcome::Unknown);
    CHECK(bootTime() - before < 2s);
}

TEST_CASE_METHOD(StoreClientFixture, "Write that the store rejects is reported as not applied")
{
    answers = { LoopbackServer::response(503, "") };
    CHECK(run(client.writeHost(HostId("n1"), "{}", RowVersion(0))).outcome == WriteOutcome::NotApplied);
}

TEST_CASE_METHOD(StoreClientFixture, "Lease that is read back has the id of its write")
{
    TableCall write;
    write.kind = TableCall::Kind::Write;
    write.key = "lease/roles";
    write.value = "value";
    write.writer = WriterId("w1");
    answers = { LoopbackServer::response(200, R"({"rowVersion":4})"),
        LoopbackServer::response(200,
            R"({"rows":[{"key":"lease/roles","value":")" + encodeBase64(R"({"writer":"w1","value":"value"})")
                + R"(","rowVersion":4}],"hasMore":false,"rowVersion":5})") };
    CHECK(run(client.perform(write)).written.outcome == WriteOutcome::Applied);
    TableCall read;
    read.key = "lease/roles";
    const auto answer = run(client.perform(read));
    REQUIRE(answer.row);
    CHECK(answer.row->value == "value");
    CHECK(answer.row->writer == WriterId("w1"));
}

TEST_CASE_METHOD(StoreClientFixture, "Response of an era before the latest one is treated as none")
{
    const auto inEra = [](const std::string& era, const std::string& body) {
        auto text = LoopbackServer::response(200, body);
        return text.insert(text.find("\r\n") + 2, "Store-Era: " + era + "\r\n");
    };
    std::vector<StoreEra> left;
    client.onEraChange = [&](StoreEra before) { left.push_back(before); };
    answers = { inEra("4", R"({"rows":[],"rowVersion":90})"), inEra("5", R"({"rows":[],"rowVersion":70})"),
        inEra("4", R"({"rows":[],"rowVersion":91})"), inEra("4", R"({"rowVersion":92})") };
    CHECK(run(client.read(SharedTable::Manifest)).value().newest
        == StoreVersion { StoreEra(4), RowVersion(90) });
    CHECK(left.empty());
    CHECK(run(client.readChanges(SharedTable::Manifest, RowVersion(90), 0ms)).value().newest
        == StoreVersion { StoreEra(5), RowVersion(70) });
    CHECK(left == std::vector<StoreEra> { StoreEra(4) });
    CHECK_FALSE(run(client.read(SharedTable::Manifest)).ok());
    CHECK(run(client.writeHost(HostId("n1"), "{}", RowVersion(0))).outcome == WriteOutcome::Unknown);
    CHECK(client.era() == StoreEra(5));
}
