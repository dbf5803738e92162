#include "DutyCalls.h"

#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"
#include "Support/LoopbackServer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// A host that gets the lease from a store, and a platform that takes its calls.
class DutyCallsFixture {
public:
    DutyCallsFixture()
        : pool(loop.get_executor())
        , storeAddress(freeLoopbackAddress())
        , platformAddress(freeLoopbackAddress())
        , store(loop.get_executor(), storeAddress,
              [this](const LoopbackServer::Request& request, tcp::socket& socket) {
                  return answerStore(request, socket);
              })
        , platformServer(loop.get_executor(), platformAddress,
              [this](const LoopbackServer::Request& request, tcp::socket& socket) {
                  return answerCall(request, socket);
              })
        , client(pool, storeAddress)
        , lease(client, HostId("h1"), 600ms, [] { return true; })
        , calls(pool, lease, { platformAddress, true, false, 50 })
    {
        spawn(loop.get_executor(), lease.run());
    }

    awaitable<bool> answerStore(const LoopbackServer::Request& request, tcp::socket& socket)
    {
        if (storeDown)
            co_return false;
        const bool write = request.target().find("rows-tx") != std::string::npos;
        const std::string body = write ? R"({"rowVersion":)" + std::to_string(++version) + "}"
                                       : R"({"rows":[],"rowVersion":1,"hasMore":false})";
        co_await LoopbackServer::write(
            socket, "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        co_return true;
    }

    awaitable<bool> answerCall(const LoopbackServer::Request& request, tcp::socket& socket)
    {
        stamps.push_back(std::string(request["Duty-Holder"]) + " " + std::string(request["Fencing-Token"]));
        if (hangs)
            co_await sleepFor(5s);
        co_await LoopbackServer::write(socket, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
        co_return true;
    }

    int send()
    {
        std::optional<int> status;
        spawn(loop.get_executor(), sendInto(status));
        while (!status && loop.run_one() > 0) { }
        return *status;
    }

    void awaitLease()
    {
        while (!lease.mayAct())
            loop.run_one();
    }

    boost::asio::io_context loop;
    ConnectionPool pool;
    Address storeAddress;
    Address platformAddress;
    bool storeDown = false;
    bool hangs = false;
    int version = 1;
    std::vector<std::string> stamps;
    LoopbackServer store;
    LoopbackServer platformServer;
    platform::StoreClient client;
    DutyLease lease;
    DutyCalls calls;

private:
    awaitable<void> sendInto(std::optional<int>& status)
    {
        const auto make
            = [](const platform::DutyStamp& stamp) { return platform::encodeUsageReport(stamp, "{}"); };
        status = co_await calls.send(make, Deadline::after(bootTime(), 4s));
    }
};

} // namespace

// Guards against calls of a host that is not the holder, and against more calls than the platform accepts.
TEST_CASE_METHOD(DutyCallsFixture, "Call is sent only by the holder, with its stamp and within the limit")
{
    CHECK(send() == 0);
    CHECK(stamps.empty());
    awaitLease();
    const auto before = bootTime();
    for (int i = 0; i < 6; ++i)
        CHECK(send() == 200);
    CHECK(bootTime() - before >= 100ms);
    CHECK(stamps == std::vector<std::string>(6, "h1 " + std::to_string(lease.fencing().count())));
}

// Guards against calls that take effect after another host has become the holder.
TEST_CASE_METHOD(
    DutyCallsFixture, "Call in flight is given up when the lease ends, and none is sent after that")
{
    awaitLease();
    hangs = true;
    storeDown = true;
    const auto before = bootTime();
    CHECK(send() == 0);
    CHECK(bootTime() - before < 1s);
    CHECK_FALSE(lease.mayAct());
    CHECK(send() == 0);
    CHECK(stamps.size() == 1);
}
