#include "ReadPacer.h"

#include "platform/StoreClient.h"

#include <algorithm>
#include <cstdint>

namespace almondscale {

namespace {

    constexpr Nanoseconds maxAnswerTime = platform::StoreClient::answerTimeout;
    constexpr Nanoseconds maxRetryDelay = std::chrono::milliseconds(1600);
    // A response may take this many times as long as the last one.
    constexpr int answerTimeFactor = 3;
    constexpr int maxDoublings = 16;

} // namespace

ReadPacer::ReadPacer(Nanoseconds minAnswerTime, Nanoseconds minRetryDelay)
    : m_minAnswerTime(std::min(minAnswerTime, maxAnswerTime))
    , m_minRetryDelay(std::min(minRetryDelay, maxRetryDelay))
    , m_answerTime(m_minAnswerTime)
{
}

Nanoseconds ReadPacer::retryDelay(double random) const
{
    // The first two delays are equal.
    const auto doublings = std::clamp(m_failures - 2, 0, maxDoublings);
    const auto longest = std::min(m_minRetryDelay * (std::int64_t(1) << doublings), maxRetryDelay);
    return Nanoseconds(static_cast<std::int64_t>(static_cast<double>(longest.count()) * (1 + random) / 2));
}

void ReadPacer::onAnswer(Nanoseconds time)
{
    m_failures = 0;
    m_answerTime = std::clamp(time * answerTimeFactor, m_minAnswerTime, maxAnswerTime);
}

void ReadPacer::onFailure()
{
    ++m_failures;
    if (m_failures > 1)
        m_answerTime = std::min(m_answerTime * 2, maxAnswerTime);
}

} // namespace almondscale
