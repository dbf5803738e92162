#include "Forwarding/RequestReader.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

class RequestReaderFixture {
public:
    RequestReader::State give(const std::string& bytes)
    {
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes.size()), boost::asio::buffer(bytes)));
        return reader.read(buffer);
    }

    static CallerLimits limits()
    {
        CallerLimits limits;
        limits.maxHeader = ByteCount(1000);
        limits.maxBody = ByteCount(100);
        return limits;
    }

    boost::beast::flat_buffer buffer;
    RequestReader reader { limits() };
};

const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE_METHOD(
    RequestReaderFixture, "Request received byte by byte is complete, and following bytes stay in the buffer")
{
    const std::string text = head + "Content-Length: 4\r\n\r\nbodyGET";
    for (std::size_t i = 0; i + 4 < text.size(); ++i)
        CHECK(give(text.substr(i, 1)) == RequestReader::State::Partial);
    CHECK(give(text.substr(text.size() - 4)) == RequestReader::State::Complete);
    CHECK(reader.take().body == "body");
    CHECK(buffer.size() == 3);
}

TEST_CASE_METHOD(RequestReaderFixture, "Chunked request body is decoded")
{
    CHECK(give(head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        == RequestReader::State::Complete);
    CHECK(reader.take().body == "abcde");
}

TEST_CASE_METHOD(RequestReaderFixture, "Request with ambiguous framing is refused")
{
    SECTION("by a length beside chunks")
    {
        CHECK(give(head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            == RequestReader::State::Invalid);
    }
    SECTION("by two lengths")
    {
        CHECK(give(head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody")
            == RequestReader::State::Invalid);
    }
    SECTION("by an encoding that only some servers know")
    {
        CHECK(give(head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n") == RequestReader::State::Invalid);
    }
    SECTION("by two encodings")
    {
        CHECK(give(head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n")
            == RequestReader::State::Invalid);
    }
    SECTION("by a space before the colon")
    {
        CHECK(give(head + "Content-Length : 4\r\n\r\nbody") == RequestReader::State::Invalid);
    }
    CHECK(reader.error() == ErrorKind::BadRequest);
}

TEST_CASE_METHOD(RequestReaderFixture, "Request over a size limit is refused with the matching error")
{
    SECTION("of the head")
    {
        CHECK(give(head + "X: " + std::string(2000, 'x')) == RequestReader::State::Invalid);
        CHECK(reader.error() == ErrorKind::HeaderTooLarge);
    }
    SECTION("of the body")
    {
        CHECK(give(head + "Content-Length: 101\r\n\r\n") == RequestReader::State::Invalid);
        CHECK(reader.error() == ErrorKind::BodyTooLarge);
    }
    SECTION("of a body in chunks")
    {
        CHECK(give(head + "Transfer-Encoding: chunked\r\n\r\nc8\r\n" + std::string(200, 'x'))
            == RequestReader::State::Invalid);
        CHECK(reader.error() == ErrorKind::BodyTooLarge);
    }
}

TEST_CASE_METHOD(RequestReaderFixture, "Chunk extensions and trailers are limited for the whole body")
{
    REQUIRE(give(head + "Transfer-Encoding: chunked\r\n\r\n") == RequestReader::State::Partial);
    SECTION("one extension without an end")
    {
        CHECK(give("1;" + std::string(1100, 'a')) == RequestReader::State::Invalid);
    }
    SECTION("an extension for each chunk")
    {
        auto state = RequestReader::State::Partial;
        for (int i = 0; i < 50 && state == RequestReader::State::Partial; ++i)
            state = give("1;" + std::string(100, 'a') + "\r\nx\r\n");
        CHECK(state == RequestReader::State::Invalid);
    }
    SECTION("trailers without an end")
    {
        auto state = give("0\r\n");
        for (int i = 0; i < 200 && state == RequestReader::State::Partial; ++i)
            state = give("X-One: 1\r\n");
        CHECK(state == RequestReader::State::Invalid);
    }
    CHECK(reader.error() == ErrorKind::HeaderTooLarge);
}

TEST_CASE_METHOD(RequestReaderFixture, "Body in chunks of one byte holds little more than its bytes")
{
    CallerLimits large = limits();
    large.maxBody = ByteCount(100000);
    RequestReader other(large);
    const std::string start = head + "Transfer-Encoding: chunked\r\n\r\n";
    buffer.commit(boost::asio::buffer_copy(buffer.prepare(start.size()), boost::asio::buffer(start)));
    REQUIRE(other.read(buffer) == RequestReader::State::Partial);
    const auto before = other.heldBytes();
    for (int i = 0; i < 50000; ++i) {
        const std::string chunk = "1\r\nx\r\n";
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(chunk.size()), boost::asio::buffer(chunk)));
        REQUIRE(other.read(buffer) == RequestReader::State::Partial);
    }
    CHECK(other.heldBytes() - before >= 50000);
    CHECK(other.heldBytes() - before <= 50000 * 5 / 4 + 2048);
}
