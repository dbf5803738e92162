#include "Forwarding/RequestReader.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

using namespace almondscale;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

// The memory that a request of the limits below may hold: three copies of its head with the overhead of each
// field, of which the shortest has four bytes, and a body whose capacity exceeds it by a quarter and one
// step.
constexpr std::size_t maxHead = 256;
constexpr std::size_t maxBody = 4096;
constexpr std::size_t maxHeld = 3 * maxHead + 256 * (maxHead / 4) + maxBody + maxBody / 4 + 2048;

} // namespace

// Whatever a caller sends, in whatever pieces, the reader holds a bounded amount of memory, leaves only a
// bounded number of bytes unparsed, and returns no body over the limit. The first byte of the input is the
// size of the pieces.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t step = std::max<std::size_t>(1, data[0]);
    CallerLimits limits;
    limits.maxHeader = ByteCount(maxHead);
    limits.maxBody = ByteCount(maxBody);
    RequestReader reader(limits);
    boost::beast::flat_buffer buffer;
    for (std::size_t at = 1; at < size; at += step) {
        const auto count = std::min(step, size - at);
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(count), boost::asio::buffer(data + at, count)));
        const auto state = reader.read(buffer);
        require(reader.heldBytes() <= maxHeld);
        require(reader.remainingBytes() <= maxBody);
        if (state == RequestReader::State::Invalid) {
            require(reader.error() != ErrorKind::None);
            return 0;
        }
        if (state == RequestReader::State::Complete) {
            require(reader.take().body.size() <= maxBody);
            return 0;
        }
        require(buffer.size() <= maxHead + 4);
    }
    return 0;
}
