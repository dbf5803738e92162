#include "ReadSchedule.h"

#include <algorithm>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // Share of a bound after which a host reads for itself; two unanswered reads fit into the rest.
    constexpr double maxAgeShare = 0.65;
    // The reader's copy is at most this old when it passes it on: a long poll, the interval and a frame.
    constexpr Nanoseconds manifestMaxAge = milliseconds(1300);
    constexpr Nanoseconds backendsMaxAge = milliseconds(1000);
    // Parts of the time between the age limit and the bound.
    constexpr int answerPart = 4;
    constexpr int retryPart = 8;
    // With a shorter bound, each host would read the store all the time.
    constexpr Nanoseconds minBound = milliseconds(1000);

    ReadSchedule fitToBound(ReadSchedule schedule, Nanoseconds wanted)
    {
        const auto bound = std::max(wanted, minBound);
        const Nanoseconds share(static_cast<std::int64_t>(static_cast<double>(bound.count()) * maxAgeShare));
        schedule.maxAge = std::min(schedule.maxAge, share);
        schedule.minAnswerTime = (bound - schedule.maxAge) / answerPart;
        schedule.minRetryDelay = (bound - schedule.maxAge) / retryPart;
        return schedule;
    }

} // namespace

ReadSchedule readSchedule(SharedTable table, const TableBounds& bounds)
{
    switch (table) {
    case SharedTable::Manifest:
        return fitToBound({ milliseconds(800), milliseconds(50), manifestMaxAge, {}, {} }, bounds.manifest);
    case SharedTable::Backends:
        return fitToBound({ milliseconds(0), milliseconds(550), backendsMaxAge, {}, {} }, bounds.backends);
    case SharedTable::Hosts:
        return { milliseconds(0), milliseconds(2000), milliseconds(6000), milliseconds(900),
            milliseconds(1600) };
    }
    return {};
}

} // namespace almondscale
