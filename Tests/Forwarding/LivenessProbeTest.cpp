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
