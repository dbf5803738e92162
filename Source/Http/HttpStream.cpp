#include "Http/HttpStream.h"

#include "Http/ClientCall.h"

#include <cxxtools/selector.h>

#include <istream>

namespace almondscale {

namespace {

    constexpr int okStatus = 200;

} // namespace

class HttpStream::Impl : public cxxtools::Connectable {
public:
    explicit Impl(const Address& to)
        : m_client(m_selector, to.ip, to.port)
    {
        cxxtools::connect(m_client.headerReceived, *this, &Impl::onHeader);
        cxxtools::connect(m_client.bodyAvailable, *this, &Impl::onBody);
        cxxtools::connect(m_client.replyFinished, *this, &Impl::onFinished);
    }

    CallResult open(const HttpCall& call)
    {
        m_request = toCxxtoolsRequest(call);
        m_client.beginExecute(m_request);
        while (!m_headerRead && !m_finished && !call.deadline.passed(monotonicClock()()))
            wait(call.deadline);
        CallResult result;
        result.failure = m_failure;
        if (!m_headerRead)
            return result;
        auto response = responseHead(m_client.header());
        if (response && response->status != okStatus)
            response->body = readAll(call.deadline);
        result.response = std::move(response);
        return result;
    }

    ReadResult readLine(std::string& line, Deadline deadline)
    {
        while (true) {
            if (extractLine(line))
                return ReadResult::Line;
            if (m_finished)
                return ReadResult::EndOfStream;
            if (deadline.passed(monotonicClock()()))
                return ReadResult::TimedOut;
            wait(deadline);
        }
    }

private:
    void onHeader(cxxtools::http::Client&) { m_headerRead = true; }

    std::size_t onBody(cxxtools::http::Client& client)
    {
        std::streambuf* buffer = client.in().rdbuf();
        const std::streamsize available = buffer->in_avail();
        if (available <= 0)
            return 0;
        const std::size_t before = m_pending.size();
        m_pending.resize(before + static_cast<std::size_t>(available));
        const auto count = static_cast<std::size_t>(buffer->sgetn(&m_pending[before], available));
        m_pending.resize(before + count);
        return count;
    }

    void onFinished(cxxtools::http::Client&)
    {
        m_finished = true;
        try {
            m_client.endExecute();
        } catch (const std::exception& error) {
            m_failure = classifyFailure(error);
        }
    }

    void wait(Deadline deadline)
    {
        try {
            m_client.wait(timeUntil(deadline));
        } catch (const std::exception& error) {
            m_failure = classifyFailure(error);
            m_finished = true;
        }
    }

    bool extractLine(std::string& line)
    {
        const auto end = m_pending.find('\n', m_scanned);
        if (end == std::string::npos) {
            m_scanned = m_pending.size();
            return false;
        }
        line.assign(m_pending, 0, end);
        m_pending.erase(0, end + 1);
        m_scanned = 0;
        return true;
    }

    std::string readAll(Deadline deadline)
    {
        const std::size_t length = m_client.header().contentLength();
        while (!m_finished && m_pending.size() < length && !deadline.passed(monotonicClock()()))
            wait(deadline);
        return std::move(m_pending);
    }

    cxxtools::Selector m_selector;
    cxxtools::http::Client m_client;
    // cxxtools refers to the request until it is sent.
    cxxtools::http::Request m_request;
    std::string m_pending;
    // Length of the prefix of m_pending that has been searched and holds no line break.
    std::size_t m_scanned = 0;
    CallFailure m_failure = CallFailure::AnswerLost;
    bool m_headerRead = false;
    bool m_finished = false;
};

HttpStream::HttpStream() = default;
HttpStream::~HttpStream() = default;
HttpStream::HttpStream(HttpStream&&) noexcept = default;
HttpStream& HttpStream::operator=(HttpStream&&) noexcept = default;

CallResult HttpStream::open(const HttpCall& call)
{
    m_impl = std::make_unique<Impl>(call.to);
    return m_impl->open(call);
}

HttpStream::ReadResult HttpStream::readLine(std::string& line, Deadline deadline)
{
    if (!m_impl)
        return ReadResult::EndOfStream;
    return m_impl->readLine(line, deadline);
}

void HttpStream::close() { m_impl.reset(); }

} // namespace almondscale
