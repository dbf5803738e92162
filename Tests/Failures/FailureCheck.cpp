#include "FailureCheck.h"

#include <sstream>

namespace almondscale {

namespace {

    bool startsWith(const std::string& text, const std::string& begin)
    {
        return text.compare(0, begin.size(), begin) == 0;
    }

    // An answer that stopped, as opposed to one with wrong content.
    bool stopped(const std::string& fault)
    {
        return startsWith(fault, "no answer") || startsWith(fault, "cut after")
            || startsWith(fault, "silent after");
    }

} // namespace

std::string brokenPromises(const LoadResult& result, bool hostsFail)
{
    std::ostringstream broken;
    for (const std::string& fault : result.tally.faults()) {
        if (!hostsFail || !stopped(fault))
            broken << "answer: " << fault << "\n";
    }
    if (result.tally.sent() == 0)
        broken << "no call was sent\n";
    for (const std::string& fault : result.bookings.faults)
        broken << "booking: " << fault << "\n";
    if (!result.bookingsCounted)
        broken << "a service did not tell its runs\n";
    return broken.str();
}

std::string refusals(const LoadResult& result)
{
    std::ostringstream text;
    for (const auto& [kind, count] : result.tally.refusals())
        text << kind << "=" << count << " ";
    return text.str();
}

} // namespace almondscale
