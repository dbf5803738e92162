#include "TableSynchronizer.h"

#include "Forwarding/BootClock.h"
#include "Support/LoopbackServer.h"
#include "platform/Base64.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// A store with one table, whose faults a test chooses, and a host that follows it.
class TableSynchronizerFixture {
public:
    TableSynchronizerFixture()
        : address(freeLoopbackAddress())
        , pool(loop.get_executor())
        , client(pool, address)
        , store(loop.get_executor(), address, answers())
    {
        put(1);
    }

    // Begins to follow the manifest, with a copy of the newest version that others have passed on.
    void follow(bool isReader)
    {
        reader = isReader;
        synchronizer = std::make_unique<TableSynchronizer>(client, mirror, HostRecord {}, bounds,
            TableSynchronizer::Hooks { [this] { return reader; }, [](SharedTable) {}, [](SharedTable) {} });
        mirror.apply(SharedTable::Manifest, snapshot(), bootTime(), bootTime(), CopyOrigin::Peer);
        spawn(loop.get_executor(), synchronizer->follow(SharedTable::Manifest));
    }

    void put(std::uint64_t number)
    {
        row = { "config", "v" + std::to_string(number), RowVersion(++version), false };
        writtenAt = bootTime();
    }

    StoredRows snapshot() const
    {
        StoredRows rows;
        rows.whole = true;
        rows.newest = { StoreEra(0), RowVersion(version) };
        rows.rows = { row };
        return rows;
    }

    std::string copy() const
    {
        const auto rows = mirror.changesSince(SharedTable::Manifest, StoreVersion());
        return rows ? rows->rows.front().value : std::string();
    }

    void runFor(Nanoseconds time) { loop.run_for(time); }

    // Runs until the copy is that of the version; returns how long ago it was written.
    Nanoseconds delayOf(std::uint64_t number)
    {
        const auto until = Deadline::after(bootTime(), 6s);
        while (copy() != "v" + std::to_string(number) && !until.passed(bootTime()))
            loop.run_for(1ms);
        return bootTime() - writtenAt;
    }

    boost::asio::io_context loop;
    Address address;
    ConnectionPool pool;
    platform::StoreClient client;
    RowMirror mirror;
    TableBounds bounds;
    bool reader = false;
    std::uint64_t version = 10;
    StoredRow row;
    MonotonicTime writtenAt {};
    // What was asked.
    std::vector<std::string> targets;
    // So many of the next reads get no response.
    int unanswered = 0;
    std::function<bool()> losesRead = [this] { return unanswered > 0 && unanswered-- > 0; };
    // Responses arrive so much later than they were made.
    Nanoseconds transit {};
    // Changes are not in the feed, although its versions count them.
    bool hidesChanges = false;
    // The history before this version is gone.
    std::uint64_t oldest = 0;
    std::unique_ptr<TableSynchronizer> synchronizer;
    LoopbackServer store;

private:
    static std::uint64_t parameter(const std::string& target, const std::string& name)
    {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? 0 : std::stoull(target.substr(at + name.size() + 1));
    }

    std::string rowText() const
    {
        return R"({"key":"config","value":")" + platform::encodeBase64(row.value) + R"(","rowVersion":)"
            + std::to_string(row.version.count()) + "}";
    }

    LoopbackServer::Answer answers()
    {
        return [this](const LoopbackServer::Request& request, tcp::socket& socket) -> awaitable<bool> {
            targets.emplace_back(request.target());
            const auto target = targets.back();
            if (losesRead()) {
                co_await sleepFor(10s);
                co_return false;
            }
            const bool feed = target.find("rows-feed") != std::string::npos;
            const auto after = parameter(target, "after");
            const auto isNew = [&] { return !feed || (!hidesChanges && after < row.version.count()); };
            int status = feed && after < oldest ? 410 : 200;
            const auto until
                = Deadline::after(bootTime(), std::chrono::milliseconds(parameter(target, "waitMs")));
            while (status == 200 && !isNew() && !until.passed(bootTime()))
                co_await sleepFor(2ms);
            const auto body = R"({"rows":[)" + (isNew() ? rowText() : std::string())
                + R"(],"hasMore":false,"rowVersion":)" + std::to_string(version) + "}";
            if (transit.count() > 0)
                co_await sleepFor(transit);
            co_await LoopbackServer::write(socket, LoopbackServer::response(status, body));
            co_return true;
        };
    }
};

} // namespace

TEST_CASE_METHOD(TableSynchronizerFixture, "Reader, given a change, has it at once")
{
    follow(true);
    runFor(200ms);
    put(2);
    CHECK(delayOf(2) < 300ms);
}

TEST_CASE_METHOD(TableSynchronizerFixture, "Host with a current copy, not a reader, leaves the store alone")
{
    follow(false);
    for (int i = 0; i < 20; ++i) {
        runFor(100ms);
        mirror.apply(SharedTable::Manifest, snapshot(), bootTime(), bootTime(), CopyOrigin::Reader);
    }
    CHECK(targets.empty());
}

// Guards against a long poll whose late response makes an old copy appear to be current.
TEST_CASE_METHOD(TableSynchronizerFixture, "Response that was late on its way, does not confirm that time")
{
    follow(true);
    transit = 400ms;
    runFor(1400ms);
    CHECK_FALSE(targets.empty());
    const auto receivedAt = bootTime();
    const auto confirmedAt = mirror.currentAt(SharedTable::Manifest);
    // The store made the last response that arrived at least the transit time before.
    CHECK(confirmedAt <= receivedAt - transit + 20ms);
}

// Guards against hosts that are late because single calls to the store get no response.
TEST_CASE_METHOD(TableSynchronizerFixture,
    "Host without updates, whose first two reads are lost, is late by less than the bound")
{
    bounds.manifest = GENERATE(2s, 3s, 4s);
    follow(false);
    put(2);
    unanswered = 2;
    CHECK(delayOf(2) < bounds.manifest);
    CHECK(targets.size() == 3);
}

// Guards against a change that is never noticed because the position of reads has passed it.
TEST_CASE_METHOD(TableSynchronizerFixture, "Change that the feed shows late, is found nevertheless")
{
    follow(true);
    runFor(1000ms);
    hidesChanges = true;
    put(2);
    runFor(1000ms);
    CHECK(copy() == "v1");
    hidesChanges = false;
    const auto shownAt = bootTime();
    // The history up to the change may be gone by then.
    oldest = GENERATE(0, 12);
    delayOf(2);
    CHECK(bootTime() - shownAt < 2s);
}
