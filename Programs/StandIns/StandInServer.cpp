#include "StandIns/StandInServer.h"

#include "Http/HttpServer.h"
#include "StandIns/ConnectionBook.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <utility>

namespace almondscale::standin {

namespace {

    constexpr unsigned minThreads = 4;
    constexpr unsigned maxThreads = 1200;
    constexpr Nanoseconds writeTimeout = std::chrono::seconds(10);
    constexpr Nanoseconds keepAliveTimeout = std::chrono::seconds(60);

    cxxtools::Milliseconds milliseconds(Nanoseconds duration)
    {
        return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(duration).count());
    }

    // The server cannot tell which port it was given, so a free one is looked for first.
    Address withPort(Address address)
    {
        if (address.port != 0)
            return address;
        address.port = freePort(address.ip);
        return address;
    }

    class ExchangeResponder : public cxxtools::http::Responder {
    public:
        ExchangeResponder(
            cxxtools::http::Service& service, ConnectionBook& book, const StandInServer::Handler& handler)
            : Responder(service)
            , m_book(book)
            , m_handler(handler)
        {
        }

        void beginRequest(
            cxxtools::net::TcpSocket& socket, std::istream& in, cxxtools::http::Request& request) override
        {
            Responder::beginRequest(socket, in, request);
            m_socket = socket.getFd();
            m_headerReadAt = monotonicClock()();
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
        {
            std::map<std::string, std::string> headers;
            for (const auto& [name, value] : request.header())
                headers[name] = value;
            HttpExchange exchange(m_book, m_socket, m_headerReadAt, request.method(), request.url(),
                request.qparams(), request.bodyStr(), headers);
            exchange.holdIfSilent();
            if (!exchange.answered())
                m_handler(exchange);
            exchange.holdIfSilent();
            if (exchange.answered()) {
                // The server answers every request; on a closed socket that comes to nothing.
                exchange.drop();
                return;
            }
            reply.httpReturn(static_cast<unsigned>(exchange.status()), "");
            reply.setHeader("Content-Type", exchange.replyType().c_str());
            out << exchange.replyBody();
        }

    private:
        ConnectionBook& m_book;
        const StandInServer::Handler& m_handler;
        int m_socket = -1;
        MonotonicTime m_headerReadAt {};
    };

    class ExchangeService : public cxxtools::http::Service {
    public:
        ExchangeService(ConnectionBook& book, const StandInServer::Handler& handler)
            : m_book(book)
            , m_handler(handler)
        {
        }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
        {
            return new ExchangeResponder(*this, m_book, m_handler);
        }
        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        ConnectionBook& m_book;
        const StandInServer::Handler& m_handler;
    };

} // namespace

class StandInServer::Impl {
public:
    Impl(const Address& listen, Nanoseconds readTimeout, Handler handler)
        : m_address(withPort(listen))
        , m_readTimeout(readTimeout)
        , m_handler(std::move(handler))
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    const Address& address() const { return m_address; }

    void run(const std::function<void()>& listening)
    {
        serve(listening);
        waitOut();
        while (!stopped()) {
            serve([] {});
            waitOut();
        }
    }

    void interrupt(Nanoseconds duration)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_downUntil = monotonicClock()() + duration;
        exitLoop();
    }

    void stop()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
        m_changed.notify_all();
        exitLoop();
    }

private:
    bool stopped()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_stopped;
    }

    void exitLoop()
    {
        m_book.close();
        if (m_loop)
            m_loop->exit();
    }

    void serve(const std::function<void()>& listening)
    {
        cxxtools::EventLoop loop;
        m_book.reopen();
        ExchangeService service(m_book, m_handler);
        cxxtools::http::Server server(loop);
        server.minThreads(minThreads);
        server.maxThreads(maxThreads);
        server.readTimeout(milliseconds(m_readTimeout));
        server.writeTimeout(milliseconds(writeTimeout));
        server.keepAliveTimeout(milliseconds(keepAliveTimeout));
        server.addService(cxxtools::Regex(".*"), service);
        server.listen(m_address.ip, m_address.port);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_stopped)
                return;
            m_loop = &loop;
        }
        listening();
        loop.run();
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_loop = nullptr;
    }

    void waitOut()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_until(lock, m_downUntil, [this] { return m_stopped; });
    }

    Address m_address;
    Nanoseconds m_readTimeout;
    Handler m_handler;
    ConnectionBook m_book;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    cxxtools::EventLoop* m_loop = nullptr;
    MonotonicTime m_downUntil {};
    bool m_stopped = false;
};

StandInServer::StandInServer(const Address& listen, Nanoseconds readTimeout, Handler handler)
    : m_impl(std::make_unique<Impl>(listen, readTimeout, std::move(handler)))
{
}

StandInServer::~StandInServer() = default;

const Address& StandInServer::address() const { return m_impl->address(); }

void StandInServer::run(const std::function<void()>& listening) { m_impl->run(listening); }

void StandInServer::interrupt(Nanoseconds duration) { m_impl->interrupt(duration); }

void StandInServer::stop() { m_impl->stop(); }

} // namespace almondscale::standin
