#include "EngineOrderSender.h"

#include "Http/JsonBuilder.h"

#include <cxxtools/net/tcpsocket.h>

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <thread>

namespace almondscale {

namespace {

    constexpr auto queueCheckInterval = std::chrono::milliseconds(1);

    std::string requestText(const EngineOrder& order)
    {
        const std::string body = JsonBuilder()
                                     .integer("order", static_cast<std::int64_t>(order.order.count()))
                                     .integer("fencing", static_cast<std::int64_t>(order.fencing.count()))
                                     .text("kind", orderKindName(order.kind))
                                     .text("value", order.value)
                                     .finish();
        return "POST /orders HTTP/1.1\r\nHost: engine\r\nConnection: close\r\nContent-Type: "
               "application/json\r\n"
               "Content-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    cxxtools::Milliseconds timeUntil(Deadline deadline)
    {
        const std::chrono::duration<double, std::milli> left = deadline.remaining(monotonicClock()());
        return cxxtools::Milliseconds(std::max(1.0, left.count()));
    }

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    OrderAnswer readAnswer(const std::string& reply)
    {
        if (startsWith(reply, "HTTP/1.1 200"))
            return OrderAnswer::CarriedOut;
        if (!startsWith(reply, "HTTP/1.1 409"))
            return OrderAnswer::NoAnswer;
        return reply.find("stale_fencing") == std::string::npos ? OrderAnswer::Busy
                                                                : OrderAnswer::StaleFencing;
    }

} // namespace

class EngineOrderSender::Impl {
public:
    bool sendHead(const Address& engine, const EngineOrder& order, Deadline deadline)
    {
        try {
            m_socket.setTimeout(timeUntil(deadline));
            m_socket.connect(engine.ip, engine.port);
            const std::string text = requestText(order);
            m_lastByte = text.back();
            writeAll(text.substr(0, text.size() - 1));
            return awaitTaken(deadline);
        } catch (const std::exception&) {
            return false;
        }
    }

    OrderAnswer sendLastByte(Deadline deadline)
    {
        try {
            m_socket.setTimeout(timeUntil(deadline));
            writeAll(std::string(1, m_lastByte));
            return readAnswer(readAll());
        } catch (const std::exception&) {
            return OrderAnswer::NoAnswer;
        }
    }

private:
    void writeAll(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size())
            done += m_socket.write(text.data() + done, text.size() - done);
    }

    // Bytes that still wait in this host's send queue could reach the engine at any later time.
    bool awaitTaken(Deadline deadline) const
    {
        while (!deadline.passed(monotonicClock()())) {
            int queued = 0;
            if (::ioctl(m_socket.getFd(), SIOCOUTQ, &queued) != 0)
                return false;
            if (queued == 0)
                return true;
            std::this_thread::sleep_for(queueCheckInterval);
        }
        return false;
    }

    std::string readAll()
    {
        std::string reply;
        char buffer[1024];
        while (!m_socket.eof()) {
            const std::size_t count = m_socket.read(buffer, sizeof buffer);
            reply.append(buffer, count);
            if (count == 0)
                break;
        }
        return reply;
    }

    cxxtools::net::TcpSocket m_socket;
    char m_lastByte = 0;
};

EngineOrderSender::EngineOrderSender() = default;
EngineOrderSender::~EngineOrderSender() = default;

bool EngineOrderSender::sendHead(const Address& engine, const EngineOrder& order, Deadline deadline)
{
    m_impl = std::make_unique<Impl>();
    const bool taken = m_impl->sendHead(engine, order, deadline);
    if (!taken)
        m_impl.reset();
    return taken;
}

OrderAnswer EngineOrderSender::sendLastByte(Deadline deadline)
{
    if (!m_impl)
        return OrderAnswer::NoAnswer;
    const OrderAnswer answer = m_impl->sendLastByte(deadline);
    m_impl.reset();
    return answer;
}

void EngineOrderSender::abandon() { m_impl.reset(); }

} // namespace almondscale
