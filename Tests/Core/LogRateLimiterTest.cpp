#include "Core/LogRateLimiter.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

LogRateLimit limit()
{
    LogRateLimit result;
    result.linesPerSecond = 10;
    result.burst = 20;
    result.reserved = 0.25;
    return result;
}

} // namespace

TEST_CASE("LogRateLimiter, under more load than its limit, drops lines and counts them")
{
    LogRateLimiter limiter(limit());
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += limiter.admit(LogLevel::Info, i / 100.0, true) ? 1 : 0;
    // Ten seconds at ten lines per second, and the burst without its reserve.
    CHECK(written <= 100 + 15);
    CHECK(written >= 100);
    CHECK(limiter.takeDropped() == static_cast<std::uint64_t>(1000 - written));
    CHECK(limiter.takeDropped() == 0);
}

TEST_CASE("LogRateLimiter, exhausted by ordinary lines, still admits warnings")
{
    LogRateLimiter limiter(limit());
    while (limiter.admit(LogLevel::Info, 0, true)) { }
    CHECK(limiter.admit(LogLevel::Warning, 0, true));
}

TEST_CASE("LogRateLimiter, output not writable, drops lines instead of blocking")
{
    LogRateLimiter limiter(limit());
    CHECK_FALSE(limiter.admit(LogLevel::Error, 0, false));
    CHECK(limiter.takeDropped() == 1);
}

TEST_CASE("LogRateLimiter, without a limit, admits every line")
{
    LogRateLimiter limiter;
    for (int i = 0; i < 1000; ++i)
        CHECK(limiter.admit(LogLevel::Info, 0, true));
}
