#include "Serving/RetryLimiter.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

// Simulates hosts that try to retry every request, and counts the retries.
int retriesOf(int hosts, int believedHosts, int requestsPerHost, Nanoseconds over)
{
    RetryBounds bounds;
    bounds.ratio = 0.2;
    bounds.minRetries = 56;
    const ServiceName service("model");
    std::vector<RetryLimiter> limiters(static_cast<std::size_t>(hosts), RetryLimiter(bounds, believedHosts));
    int retries = 0;
    for (int i = 0; i < requestsPerHost; ++i) {
        const MonotonicTime now = MonotonicTime(100s) + over * i / requestsPerHost;
        for (auto& limiter : limiters) {
            limiter.onRequest(service, now);
            retries += limiter.tryRetry(service, now) ? 1 : 0;
        }
    }
    return retries;
}

} // namespace

TEST_CASE("Retries of all hosts in a window, wanted for every request, stay within the common bound")
{
    for (const int hosts : { 1, 8, 82 }) {
        for (const int requests : { 5, 60, 400 })
            CHECK(retriesOf(hosts, hosts, requests, 10s) <= 0.2 * hosts * requests + 56);
    }
}

TEST_CASE("Retries of a host, with more hosts known, follow its smaller share")
{
    RetryBounds bounds;
    bounds.minRetries = 56;
    RetryLimiter limiter(bounds, 1);
    const ServiceName service("model");
    limiter.setHosts(82);
    int retries = 0;
    for (int i = 0; i < 20; ++i)
        retries += limiter.tryRetry(service, MonotonicTime(100s)) ? 1 : 0;
    CHECK(retries == 0);
}

TEST_CASE("Retries of a host, with its bounds changed at run time, follow the new bounds at once")
{
    RetryBounds bounds;
    bounds.minRetries = 56;
    RetryLimiter limiter(bounds, 1);
    const ServiceName service("model");
    REQUIRE(limiter.tryRetry(service, MonotonicTime(100s)));
    bounds.minRetries = 0;
    bounds.ratio = 0;
    limiter.setBounds(bounds);
    CHECK_FALSE(limiter.tryRetry(service, MonotonicTime(101s)));
    bounds.minRetries = 56;
    limiter.setBounds(bounds);
    CHECK(limiter.tryRetry(service, MonotonicTime(102s)));
}
