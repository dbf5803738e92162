#include "Core/TransferDeadline.h"

#include <algorithm>

namespace almondscale {

namespace {

    // A link of 10 Mbit/s carries this 300 times.
    constexpr double minBytesPerSecond = 4096;

} // namespace

void TransferDeadline::onBytes(std::size_t count, MonotonicTime now)
{
    const Nanoseconds gained(static_cast<std::int64_t>(static_cast<double>(count) / minBytesPerSecond * 1e9));
    m_deadline = std::min(Deadline(m_deadline.at() + gained), Deadline::after(now, maxSilence));
}

} // namespace almondscale
