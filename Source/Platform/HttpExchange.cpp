#include "Platform/HttpExchange.h"

#include <algorithm>
#include <array>
#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <exception>
#include <stdexcept>

namespace almondscale {

namespace {

    constexpr std::size_t maxResponseBytes = 64UL << 20U;
    constexpr std::size_t readBufferBytes = 16384;

    // cxxtools throws one exception type for all failures, so that only the message identifies a failed
    // connect. If the message changes, a refused connection is classified as AnswerLost, which is safe.
    bool isConnectFailure(const std::exception& error)
    {
        return std::string(error.what()).find("while trying to connect") != std::string::npos;
    }

    // Runs one exchange in a selector loop, since only that applies one deadline to the whole exchange.
    class Exchange : public cxxtools::Connectable {
    public:
        explicit Exchange(const Address& address)
            : m_client(m_selector, address.ip, address.port)
        {
            cxxtools::connect(m_client.replyFinished, *this, &Exchange::onFinished);
            cxxtools::connect(m_client.bodyAvailable, *this, &Exchange::onBody);
        }

        HttpExchangeResult run(const HttpExchangeRequest& request, Deadline deadline)
        {
            try {
                exchange(request, deadline);
            } catch (const std::exception& error) {
                return { isConnectFailure(error) ? HttpExchangeOutcome::NotSent
                                                 : HttpExchangeOutcome::AnswerLost,
                    0, {} };
            }
            // cxxtools signals that a request is sent only some time after the bytes have left, so a
            // deadline that passes before the signal does not prove that nothing was sent.
            if (!m_finished)
                return { HttpExchangeOutcome::AnswerLost, 0, {} };
            return { HttpExchangeOutcome::Completed, m_status, std::move(m_body) };
        }

    private:
        void exchange(const HttpExchangeRequest& request, Deadline deadline)
        {
            cxxtools::http::Request message(request.path);
            message.method(request.method);
            message.qparams(request.query);
            message.setHeader("Connection", "close");
            message.setHeader("Content-Type", "application/json");
            message.body() << request.body;
            m_client.beginExecute(message);
            const auto clock = monotonicClock();
            for (auto now = clock(); !m_finished && !deadline.passed(now); now = clock())
                m_client.wait(waitTime(deadline.remaining(now)));
            if (!m_finished)
                return;
            m_client.endExecute();
            m_status = static_cast<int>(m_client.header().httpReturnCode());
        }

        static cxxtools::Milliseconds waitTime(Nanoseconds remaining)
        {
            const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
            return cxxtools::Milliseconds(static_cast<double>(remainingMs + 1));
        }

        void onFinished(cxxtools::http::Client&) { m_finished = true; }

        std::size_t onBody(cxxtools::http::Client& client)
        {
            std::array<char, readBufferBytes> buffer {};
            std::size_t total = 0;
            while (client.in().rdbuf()->in_avail() > 0) {
                const auto read = client.in().readsome(buffer.data(), buffer.size());
                if (read <= 0)
                    break;
                m_body.append(buffer.data(), static_cast<std::size_t>(read));
                total += static_cast<std::size_t>(read);
            }
            if (m_body.size() > maxResponseBytes)
                throw std::length_error("platform response exceeds 64 MiB");
            return total;
        }

        cxxtools::Selector m_selector;
        cxxtools::http::Client m_client;
        bool m_finished = false;
        int m_status = 0;
        std::string m_body;
    };

} // namespace

HttpExchangeResult exchangeHttp(const Address& address, const HttpExchangeRequest& request, Deadline deadline)
{
    return Exchange(address).run(request, deadline);
}

} // namespace almondscale
