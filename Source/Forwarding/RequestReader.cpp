#include "Forwarding/RequestReader.h"

#include "Forwarding/StepwiseBody.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace almondscale {

namespace {

    namespace http = boost::beast::http;

    // Chunk headers, extensions and trailers may take this many bytes for each byte of the body, besides the
    // limit of a head. A chunk of one byte needs five, or a few more with leading zeros.
    constexpr std::uint64_t framingPerBodyByte = 16;
    // Memory of a parsed field beyond its text, in the parser, in the head that is forwarded and in its copy.
    constexpr std::size_t fieldOverhead = 256;
    constexpr std::size_t headCopies = 3;

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

    // Whether chunk headers, extensions and trailers are within their limit.
    bool hasAcceptableFraming(std::size_t unparsed) const
    {
        const auto body = m_parser.get().body().size();
        return unparsed <= m_maxHeader && m_bodyBytes <= body + m_maxHeader + framingPerBodyByte * body;
    }

    void measureHead()
    {
        for (const auto& field : m_parser.get())
            m_headMemory += fieldOverhead + headCopies * (field.name_string().size() + field.value().size());
        m_headMemory += headCopies * m_parser.get().target().size();
    }

    http::request_parser<StepwiseBody> m_parser;
    std::uint64_t m_maxHeader = 0;
    std::uint64_t m_maxBody = 0;
    // Bytes consumed after the head, including those between the chunks.
    std::uint64_t m_bodyBytes = 0;
    std::size_t m_headMemory = 0;
    ErrorKind m_error = ErrorKind::None;
    bool m_framingChecked = false;
};

RequestReader::RequestReader(const CallerLimits& limits)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->m_maxHeader = static_cast<std::uint64_t>(limits.maxHeader.count());
    m_impl->m_maxBody = static_cast<std::uint64_t>(limits.maxBody.count());
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
        const bool inBody = parser.is_header_done();
        const auto consumed = parser.put(buffer.data(), error);
        buffer.consume(consumed);
        if (inBody)
            m_impl->m_bodyBytes += consumed;
        if (error == http::error::need_more)
            break;
        if (error) {
            m_impl->m_error = toErrorKind(error);
            return State::Invalid;
        }
    }
    if (parser.is_header_done() && !m_impl->m_framingChecked) {
        m_impl->m_framingChecked = true;
        m_impl->measureHead();
        if (!m_impl->hasUnambiguousFraming() || parser.get().version() != 11) {
            m_impl->m_error = ErrorKind::BadRequest;
            return State::Invalid;
        }
    }
    if (parser.is_done())
        return State::Complete;
    if (parser.is_header_done() && !m_impl->hasAcceptableFraming(buffer.size())) {
        m_impl->m_error = ErrorKind::HeaderTooLarge;
        return State::Invalid;
    }
    return State::Partial;
}

ErrorKind RequestReader::error() const { return m_impl->m_error; }

bool RequestReader::started() const { return m_impl->m_parser.got_some(); }

bool RequestReader::expectsContinue() const
{
    return isHeadComplete() && !m_impl->m_parser.is_done()
        && boost::beast::iequals(m_impl->m_parser.get()[http::field::expect], "100-continue");
}

bool RequestReader::isHeadComplete() const { return m_impl->m_parser.is_header_done(); }

std::size_t RequestReader::heldBytes() const
{
    return m_impl->m_headMemory + m_impl->m_parser.get().body().capacity();
}

std::size_t RequestReader::growthFor(std::size_t bytes) const
{
    const auto& body = m_impl->m_parser.get().body();
    const auto capacity = body.capacity();
    const auto announced = body.size() + remainingBytes();
    if (body.size() + bytes <= capacity || announced <= capacity)
        return 0;
    return std::min(std::max(body.size() + bytes, capacity + std::max<std::size_t>(2 << 10, capacity / 4)),
               announced)
        - capacity;
}

std::size_t RequestReader::remainingBytes() const
{
    const auto& parser = m_impl->m_parser;
    if (!parser.is_header_done() || parser.is_done())
        return 0;
    const auto length = parser.content_length_remaining();
    const auto body = parser.get().body().size();
    return length ? *length : m_impl->m_maxBody - std::min<std::uint64_t>(m_impl->m_maxBody, body);
}

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
