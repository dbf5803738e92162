#include "StandIns/StandInServer.h"

#include <catch2/catch.hpp>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace almondscale;
using namespace almondscale::standin;
using namespace std::chrono_literals;

namespace {

constexpr int timeoutMs = 10000;

class StandInServerFixture {
protected:
    StandInServerFixture()
        : m_server({ "127.0.0.1", 0 }, 300ms, [this](HttpExchange& exchange) { handle(exchange); })
    {
        m_thread = std::thread([this] { m_server.run([this] { m_listening.set_value(); }); });
        m_listening.get_future().wait();
    }

    ~StandInServerFixture()
    {
        m_stopStreams = true;
        m_server.stop();
        m_thread.join();
    }

    cxxtools::http::Client client() const { return { m_server.address().ip, m_server.address().port }; }

    static int status(cxxtools::http::Client& client, const std::string& path)
    {
        const cxxtools::Milliseconds timeout(timeoutMs);
        return static_cast<int>(client.get(path, timeout).httpReturnCode());
    }

    // All that comes on a connection until it ends.
    std::string rawAnswer(const std::string& sent) const
    {
        cxxtools::net::TcpSocket socket(m_server.address().ip, m_server.address().port);
        socket.setTimeout(cxxtools::Milliseconds(timeoutMs));
        socket.write(sent.data(), sent.size());
        std::string answer;
        char buffer[4096];
        for (;;) {
            const std::size_t count = socket.read(buffer, sizeof buffer);
            if (count == 0)
                return answer;
            answer.append(buffer, count);
        }
    }

    bool streamsBegin(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (m_begunStreams < count && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(1ms);
        return m_begunStreams >= count;
    }

    // Retries while the server is down.
    bool comesBack()
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (std::chrono::steady_clock::now() < end) {
            try {
                auto fresh = client();
                return status(fresh, "/ok") == 200;
            } catch (const std::exception&) {
                std::this_thread::sleep_for(10ms);
            }
        }
        return false;
    }

    StandInServer m_server;

private:
    void handle(HttpExchange& exchange)
    {
        if (exchange.path() == "/stream") {
            exchange.startStream("text/plain");
            ++m_begunStreams;
            while (!m_stopStreams && exchange.write("x") && !exchange.callerGone())
                std::this_thread::sleep_for(5ms);
        } else if (exchange.path() == "/cut")
            exchange.replyCut(200, "0123456789", 4);
        else if (exchange.path() == "/drop")
            exchange.drop();
        else if (exchange.path() == "/silence") {
            exchange.silenceOthers();
            exchange.reply(200, "{}");
        } else
            exchange.reply(200, exchange.body());
    }

    std::promise<void> m_listening;
    std::atomic<std::size_t> m_begunStreams { 0 };
    std::atomic<bool> m_stopStreams { false };
    std::thread m_thread;
};

} // namespace

TEST_CASE_METHOD(
    StandInServerFixture, "Interrupt, with streams and idle connections open, ends them all", "[server]")
{
    auto idle = client();
    REQUIRE(status(idle, "/ok") == 200);
    std::vector<std::future<std::string>> streams;
    streams.reserve(8);
    for (int i = 0; i < 8; ++i)
        streams.push_back(
            std::async(std::launch::async, [this] { return rawAnswer("GET /stream HTTP/1.1\r\n\r\n"); }));
    CHECK(streamsBegin(streams.size()));
    m_server.interrupt(50ms);
    for (auto& stream : streams)
        CHECK(stream.wait_for(10s) == std::future_status::ready);
    CHECK(comesBack());
}

TEST_CASE_METHOD(StandInServerFixture, "Answer, cut short, has only its first bytes", "[server]")
{
    const std::string answer = rawAnswer("GET /cut HTTP/1.1\r\n\r\n");
    CHECK(answer.find("Content-Length: 10") != std::string::npos);
    CHECK(answer.substr(answer.size() - 8) == "\r\n\r\n0123");
    CHECK(rawAnswer("GET /drop HTTP/1.1\r\n\r\n").empty());
}

TEST_CASE_METHOD(
    StandInServerFixture, "Connection, gone silent, gets no answer while a new one does", "[server]")
{
    const std::string request = "GET /ok HTTP/1.1\r\n\r\n";
    char buffer[4096];
    cxxtools::net::TcpSocket old(m_server.address().ip, m_server.address().port);
    old.setTimeout(cxxtools::Milliseconds(timeoutMs));
    old.write(request.data(), request.size());
    REQUIRE(old.read(buffer, sizeof buffer) > 0);
    auto control = client();
    REQUIRE(status(control, "/silence") == 200);
    auto fresh = client();
    CHECK(status(fresh, "/ok") == 200);
    old.write(request.data(), request.size());
    old.setTimeout(cxxtools::Milliseconds(300));
    CHECK_THROWS_AS(old.read(buffer, sizeof buffer), cxxtools::IOTimeout);
}

TEST_CASE_METHOD(
    StandInServerFixture, "Request, whose last byte stays out, is dropped after the read timeout", "[server]")
{
    const std::string answer = rawAnswer("POST /ok HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
    CHECK(answer.find("200") == std::string::npos);
}
