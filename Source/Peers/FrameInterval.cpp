#include "Peers/FrameInterval.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Target limit for the control traffic of a host, sent and received.
    constexpr double hostBytesPerSecond = 15000;
    // Limit for all links of a reader together. At ten times the limit of a host, the four links of a
    // reader in a small system have the same interval as a single link.
    constexpr double readerBytesPerSecond = 10 * hostBytesPerSecond;
    // Shorter intervals bring no benefit: results at 20 ms and 50 ms are the same.
    constexpr Nanoseconds minFrameInterval = std::chrono::milliseconds(20);
    // A host is considered dead after five such intervals without a frame, see PeerLink.cpp.
    constexpr Nanoseconds maxFrameInterval = std::chrono::milliseconds(200);

} // namespace

Nanoseconds frameInterval(std::size_t sentBytes, std::size_t receivedBytes, std::size_t links)
{
    const auto bytes = static_cast<double>(sentBytes + receivedBytes);
    const double seconds
        = std::max(bytes / hostBytesPerSecond, bytes * static_cast<double>(links) / readerBytesPerSecond);
    return std::clamp(
        Nanoseconds(static_cast<std::int64_t>(seconds * 1e9)), minFrameInterval, maxFrameInterval);
}

} // namespace almondscale
