#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// An address that accepts connections and may close them again, such as a proxy in front of a server.
class LivenessProbeFixture : public ForwardingFixture {
public:
    LivenessProbeFixture()
        : server { BackendId("s"), 0 }
        , serverAddress(freeLoopbackAddress())
    {
    }

    bool hasTerminated(std::optional<Nanoseconds> closedAfter)
    {
        HttpListener acceptor(loop.get_executor(), [this, closedAfter](tcp::socket socket) {
            spawn(loop.get_executor(), hold(std::move(socket), closedAfter));
        });
        acceptor.start(serverAddress);
        return probe();
    }

    bool probe()
    {
        std::optional<bool> result;
        spawn(loop.get_executor(),
            [](LivenessProbeFixture& self, std::optional<bool>& terminated) -> awaitable<void> {
                terminated = co_await self.livenessProbe.hasTerminated(self.server, self.serverAddress);
            }(*this, result));
        while (!result && loop.run_one() > 0) { }
        return *result;
    }

    // Puts a connection into the pool that is closed after the time; later connections are refused.
    void keepIdleConnection(Nanoseconds closedAfter)
    {
        HttpListener acceptor(loop.get_executor(), [this, closedAfter](tcp::socket socket) {
            spawn(loop.get_executor(), hold(std::move(socket), closedAfter));
        });
        acceptor.start(serverAddress);
        auto connection = pool.create(serverAddress);
        bool connected = false;
        spawn(loop.get_executor(), [](BackendConnection& made, bool& done) -> awaitable<void> {
            co_await made.connect(Deadline::after(bootTime(), 1s));
            done = true;
        }(*connection, connected));
        while (!connected && loop.run_one() > 0) { }
        runFor(5ms);
        acceptor.stop();
        runFor(5ms);
        pool.addUnused(std::move(connection));
    }

    BackendLifetime server;
    Address serverAddress;

private:
    static awaitable<void> hold(tcp::socket socket, std::optional<Nanoseconds> closedAfter)
    {
        co_await sleepFor(closedAfter.value_or(1s));
        socket.close();
    }
};

} // namespace

TEST_CASE_METHOD(LivenessProbeFixture, "LivenessProbe, connection refused, reports a terminated server")
{
    CHECK(probe());
}

TEST_CASE_METHOD(
    LivenessProbeFixture, "LivenessProbe, connection accepted and closed late, reports a terminated server")
{
    CHECK(hasTerminated(120ms));
}

TEST_CASE_METHOD(LivenessProbeFixture, "LivenessProbe, connection kept open, reports a running server")
{
    CHECK_FALSE(hasTerminated(std::nullopt));
}

TEST_CASE_METHOD(
    LivenessProbeFixture, "LivenessProbe, idle connection closed late, reports a terminated server")
{
    keepIdleConnection(120ms);
    CHECK(probe());
}

TEST_CASE_METHOD(LivenessProbeFixture, "LivenessProbe, idle connection kept open, reports a running server")
{
    keepIdleConnection(1s);
    CHECK_FALSE(probe());
}

TEST_CASE_METHOD(
    LivenessProbeFixture, "LivenessProbe, idle connection taken meanwhile, reports a running server")
{
    keepIdleConnection(1s);
    std::unique_ptr<BackendConnection> taken;
    boost::asio::steady_timer timer(loop, 50ms);
    timer.async_wait([&](const auto&) { taken = pool.take(serverAddress); });
    CHECK_FALSE(probe());
    CHECK(taken);
}
