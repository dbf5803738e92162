#include "Load/LoadCommand.h"

#include "Load/LoadRun.h"

#include <chrono>
#include <iostream>

namespace almondscale {

namespace {

    constexpr int usageExitCode = 2;
    constexpr double firstTokenShare = 0.95;

    void printDetails(const LoadResult& result)
    {
        for (const auto& [kind, count] : result.tally.refusals())
            std::cerr << "refusal=" << kind << " count=" << count << "\n";
        for (const std::string& fault : result.tally.faults())
            std::cerr << "failure: " << fault << "\n";
        for (const std::string& fault : result.bookings.faults)
            std::cerr << "booking: " << fault << "\n";
        if (!result.bookingsCounted)
            std::cerr << "booking: a service did not tell its runs\n";
    }

    void printResult(const LoadResult& result)
    {
        const LoadTally& tally = result.tally;
        const std::chrono::duration<double, std::milli> firstToken = tally.firstToken(firstTokenShare);
        // A booking that was refused as not run and ran is an untrue answer.
        std::cout << result.cost << "\n"
                  << "sent=" << tally.sent() << " complete=" << tally.complete()
                  << " in_time=" << tally.inTime() << " refused=" << tally.refused()
                  << " failed=" << tally.failed() + result.bookings.untrue
                  << " first_token_p95_ms=" << firstToken.count() << " bookings_sent=" << result.bookings.sent
                  << " bookings_run=" << result.bookings.run
                  << " bookings_doubled=" << result.bookings.doubled
                  << " bookings_lost=" << result.bookings.lost << std::endl;
    }

    bool good(const LoadResult& result)
    {
        const BookingAudit::Verdict& bookings = result.bookings;
        return result.tally.failed() == 0 && bookings.untrue == 0 && bookings.doubled == 0
            && bookings.lost == 0 && result.bookingsCounted;
    }

} // namespace

int runLoadCommand(int argc, char** argv)
{
    const std::optional<LoadOptions> options = parseLoadOptions(argc, argv);
    if (!options)
        return usageExitCode;
    if (options->help) {
        printLoadUsage();
        return 0;
    }
    const LoadResult result = runLoad(*options);
    printDetails(result);
    printResult(result);
    return good(result) ? 0 : 1;
}

} // namespace almondscale
