#include "Forwarding/RequestReader.h"

#include <boost/beast/http.hpp>

namespace almondscale {

namespace {

    namespace http = boost::beast::http;

    ErrorKind toErrorKind(const boost::system::error_code& error)
    {
        if (error == http::error::header_limit)
            return ErrorKind::HeaderTooLarge;
        if (error == http::error::body_limit)
            return ErrorKind::BodyTooLarge;
        return ErrorKind::BadRequest;
    }

} // namespace

class RequestReader::Impl {
public:
    // Whether the headers define the body length in exactly one way.
    bool hasUnambiguousFraming() const
    {
        const auto& message = m_parser.get();
        const auto encodings = message.count(http::field::transfer_encoding);
        const auto lengths = message.count(http::field::content_length);
        if (encodings > 1 || lengths > 1 || (encodings == 1 && lengths == 1))
            return false;
        return encodings == 0 || boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
    }

    http::request_parser<http::string_body> m_parser;
    ErrorKind m_error = ErrorKind::None;
    bool m_framingChecked = false;
};

RequestReader::RequestReader(const CallerLimits& limits)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->m_parser.header_limit(static_cast<std::uint32_t>(limits.maxHeader.count()));
    m_impl->m_parser.body_limit(static_cast<std::uint64_t>(limits.maxBody.count()));
    m_impl->m_parser.eager(true);
}

RequestReader::~RequestReader() = default;

RequestReader::State RequestReader::read(boost::beast::flat_buffer& buffer)
{
    auto& parser = m_impl->m_parser;
    while (buffer.size() > 0 && !parser.is_done()) {
        boost::system::error_code error;
        const auto consumed = parser.put(buffer.data(), error);
        buffer.consume(consumed);
        if (error == http::error::need_more)
            break;
        if (error) {
            m_impl->m_error = toErrorKind(error);
            return State::Invalid;
        }
    }
    if (parser.is_header_done() && !m_impl->m_framingChecked) {
        m_impl->m_framingChecked = true;
        if (!m_impl->hasUnambiguousFraming() || parser.get().version() != 11) {
            m_impl->m_error = ErrorKind::BadRequest;
            return State::Invalid;
        }
    }
    return parser.is_done() ? State::Complete : State::Partial;
}

ErrorKind RequestReader::error() const { return m_impl->m_error; }

bool RequestReader::started() const { return m_impl->m_parser.got_some(); }

bool RequestReader::expectsContinue() const
{
    return isHeadComplete() && !m_impl->m_parser.is_done()
        && boost::beast::iequals(m_impl->m_parser.get()[http::field::expect], "100-continue");
}

bool RequestReader::isHeadComplete() const { return m_impl->m_parser.is_header_done(); }

std::size_t RequestReader::bodyBytes() const { return m_impl->m_parser.get().body().size(); }

ReceivedRequest RequestReader::take()
{
    auto message = m_impl->m_parser.release();
    ReceivedRequest request;
    request.keepAlive = message.keep_alive();
    request.head.method = std::string(message.method_string());
    request.head.target = std::string(message.target());
    for (const auto& field : message)
        request.head.fields.add(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

} // namespace almondscale
