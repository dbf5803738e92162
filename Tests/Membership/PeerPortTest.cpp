#include "Membership/FrameAuthenticator.h"
#include "Membership/FrameCodec.h"
#include "Membership/FrameReader.h"
#include "Membership/InboundConnection.h"
#include "Membership/OutboundConnection.h"

#include "Core/RandomSource.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondscale {

namespace {

    const FrameKeys keys { "a shared key of 32 bytes, no. 1.", {} };

    bool eventually(const std::function<bool()>& holds)
    {
        for (int i = 0; i < 3000; ++i) {
            if (holds())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    // A listening socket on a free port, and both ends of connections to it with a simulated clock.
    class PortFixture {
    public:
        PortFixture()
        {
            constexpr std::uint64_t firstPort = 20000;
            constexpr std::uint64_t ports = 40000;
            authenticator.setKeys(keys);
            const auto random = systemRandom();
            while (address.port == 0) {
                const auto port = static_cast<std::uint16_t>(firstPort + uniformBelow(random, ports));
                try {
                    server.listen("127.0.0.1", port, 16);
                    address = { "127.0.0.1", port };
                } catch (const std::exception&) {
                    // Retries with another port if the port is in use.
                    continue;
                }
            }
        }

        std::shared_ptr<cxxtools::net::TcpSocket> connection()
        {
            auto socket = std::make_shared<cxxtools::net::TcpSocket>();
            socket->accept(server);
            return socket;
        }

        bool receive(InboundConnection& connection)
        {
            return connection.receive(
                authenticator, counters, [this](const std::string& frame) { frames.push_back(frame); }, now);
        }

        FrameAuthenticator authenticator;
        TransportCounters counters;
        cxxtools::net::TcpServer server;
        Address address;
        MonotonicTime now { std::chrono::hours(1) };
        std::vector<std::string> frames;
    };

    std::string signedBytes(
        const FrameAuthenticator& authenticator, const FrameContext& context, const std::string& frame)
    {
        return wireBytes({ authenticator.sign(context, frame), frame });
    }

    // A peer that reads and writes raw bytes instead of using the library's connection classes.
    class RawPeer {
    public:
        explicit RawPeer(const Address& to)
            : m_socket(to.ip, to.port)
        {
        }

        std::string challenge()
        {
            std::string bytes(FrameAuthenticator::challengeBytes, '\0');
            std::size_t got = 0;
            while (got < bytes.size())
                got += static_cast<std::size_t>(::recv(m_socket.getFd(), &bytes[got], bytes.size() - got, 0));
            return bytes;
        }

        void send(const std::string& bytes)
        {
            static_cast<void>(::send(m_socket.getFd(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
        }

    private:
        cxxtools::net::TcpSocket m_socket;
    };

} // namespace

TEST_CASE("InboundConnection, a frame is replayed on the same or on another connection, it is rejected")
{
    PortFixture fixture;
    RawPeer first(fixture.address);
    InboundConnection firstConnection(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(firstConnection.sendChallenge());
    const auto challenge = first.challenge();
    const auto bytes = signedBytes(fixture.authenticator, { challenge, 0, fixture.address }, "frame");
    first.send(bytes);
    REQUIRE(eventually([&] { return fixture.receive(firstConnection) && fixture.frames.size() == 1; }));
    // The second copy has another sequence number, so its MAC does not match.
    first.send(bytes);
    CHECK(eventually([&] { return !fixture.receive(firstConnection); }));

    RawPeer second(fixture.address);
    InboundConnection secondConnection(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(secondConnection.sendChallenge());
    CHECK(second.challenge() != challenge);
    second.send(bytes);
    CHECK(eventually([&] { return !fixture.receive(secondConnection); }));
    CHECK(fixture.frames.size() == 1);
    CHECK(fixture.counters.framesUnauthorised == 2);
}

TEST_CASE("InboundConnection, a frame signed for another host is forwarded, it is rejected")
{
    PortFixture fixture;
    RawPeer peer(fixture.address);
    InboundConnection connection(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(connection.sendChallenge());
    const Address other { "127.0.0.1", 1 };
    peer.send(signedBytes(fixture.authenticator, { peer.challenge(), 0, other }, "frame"));
    CHECK(eventually([&] { return !fixture.receive(connection); }));
    CHECK(fixture.counters.framesUnauthorised == 1);
    CHECK(fixture.frames.empty());
}

TEST_CASE(
    "InboundConnection, a peer announces an oversized frame, the connection is closed and the frame counted")
{
    PortFixture fixture;
    RawPeer peer(fixture.address);
    InboundConnection connection(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(connection.sendChallenge());
    peer.send(std::string(4, '\x7f'));
    CHECK(eventually([&] { return !fixture.receive(connection); }));
    CHECK(fixture.counters.framesOversized == 1);
}

TEST_CASE(
    "InboundConnection, an unauthenticated peer sends part of a frame and stalls, the connection expires")
{
    PortFixture fixture;
    RawPeer peer(fixture.address);
    InboundConnection connection(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(connection.sendChallenge());
    peer.send(std::string(3, '\0'));
    REQUIRE(fixture.receive(connection));
    CHECK_FALSE(connection.expired(fixture.now));
    CHECK(connection.expired(fixture.now + std::chrono::seconds(5)));
}

TEST_CASE("OutboundConnection, a peer accepts and sends no challenge, the connection is closed and reopened")
{
    PortFixture fixture;
    OutboundConnection connection(fixture.address, fixture.counters);
    connection.enqueue("frame", fixture.now);
    const auto step = [&] { connection.step(fixture.authenticator, fixture.now); };
    REQUIRE(eventually([&] {
        step();
        return fixture.counters.connectionsOpened == 1;
    }));
    CHECK(fixture.counters.connectionsFailed == 0);
    fixture.now += std::chrono::seconds(1);
    step();
    CHECK(fixture.counters.connectionsFailed == 1);
    const auto silent = fixture.connection();
    // The frame is still queued and is sent on the next connection.
    fixture.now += std::chrono::seconds(1);
    REQUIRE(eventually([&] {
        step();
        return fixture.counters.connectionsOpened == 2;
    }));
    InboundConnection inbound(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(inbound.sendChallenge());
    CHECK(eventually([&] {
        step();
        return fixture.receive(inbound) && fixture.frames.size() == 1;
    }));
}

TEST_CASE("OutboundConnection, a peer stops reading, frames beyond the queue limit are dropped and the "
          "connection is closed")
{
    PortFixture fixture;
    OutboundConnection connection(fixture.address, fixture.counters);
    connection.enqueue("frame", fixture.now);
    const auto step = [&] { connection.step(fixture.authenticator, fixture.now); };
    step();
    InboundConnection inbound(fixture.connection(), fixture.address, fixture.now);
    REQUIRE(inbound.sendChallenge());
    REQUIRE(eventually([&] {
        step();
        return fixture.receive(inbound) && fixture.frames.size() == 1;
    }));
    const std::string large(maxFrameBytes, 'x');
    for (int i = 0; i < 2000 && fixture.counters.framesDropped == 0; ++i) {
        connection.enqueue(large, fixture.now);
        step();
    }
    CHECK(fixture.counters.framesDropped > 0);
    CHECK(fixture.counters.connectionsFailed == 0);
    fixture.now += std::chrono::seconds(3);
    step();
    CHECK(fixture.counters.connectionsFailed == 1);
}

} // namespace almondscale
