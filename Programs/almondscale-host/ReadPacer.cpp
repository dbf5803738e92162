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
    // The first delays are equal, so that two lost calls cost little; each further one is as many times
    // longer.
    constexpr int equalDelays = 2;
    constexpr int retryDelayFactor = 4;

} // namespace

ReadPacer::ReadPacer(Nanoseconds minAnswerTime, Nanoseconds minRetryDelay)
    : m_minAnswerTime(std::min(minAnswerTime, maxAnswerTime))
    , m_minRetryDelay(std::min(minRetryDelay, maxRetryDelay))
    , m_answerTime(m_minAnswerTime)
{
}

Nanoseconds ReadPacer::retryDelay(double random) const
{
    auto longest = m_minRetryDelay;
    for (int i = equalDelays; i < m_failures && longest < maxRetryDelay; ++i)
        longest = std::min(longest * retryDelayFactor, maxRetryDelay);
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
