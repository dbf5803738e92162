#include "RoutingCommand.h"

#include "RoutingFixture.h"

#include <getopt.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>

namespace almondscale {

namespace {

    constexpr option longOptions[] = {
        { "hosts", required_argument, nullptr, 'n' },
        { "engines", required_argument, nullptr, 'e' },
        { "rate", required_argument, nullptr, 'r' },
        { "seconds", required_argument, nullptr, 't' },
        { "lag-ms", required_argument, nullptr, 'l' },
        { "prefixes", required_argument, nullptr, 'p' },
        { "hot-percent", required_argument, nullptr, 'o' },
        { "seed", required_argument, nullptr, 's' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };

    // A policy to compare.
    struct Entry {
        const char* name;
        RoutePolicy policy;
        // Whether it uses the estimates of this host, or the reports as they come.
        bool estimates;
    };

    std::vector<Entry> entries()
    {
        constexpr Nanoseconds slack = std::chrono::milliseconds(100);
        return {
            { "round-robin", roundRobin(), false },
            { "least-reported-load", leastReportedLoad(), false },
            { "shortest-uncorrected", shortestExpectedWork(), false },
            { "shortest-expected-work", shortestExpectedWork(), true },
            { "two-choices", powerOfTwoChoices(), true },
            { "bounded-rendezvous", boundedRendezvous(slack), true },
            { "prefix-affinity", prefixAffinity(), true },
            { "prefix-or-two-choices", prefixOrTwoChoices(), true },
        };
    }

    double milliseconds(Nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

    bool readOption(int letter, const char* text, RoutingExperiment& experiment)
    {
        char* end = nullptr;
        const double value = std::strtod(text, &end);
        constexpr double most = 100000;
        if (end == text || *end != '\0' || value < 1 || value > most) {
            std::cerr << "almondscale-bench routing: '" << text << "' must be a number from 1 to " << most
                      << "\n";
            return false;
        }
        const auto count = static_cast<int>(value);
        if (letter == 'n')
            experiment.hosts = count;
        else if (letter == 'e')
            experiment.engines = count;
        else if (letter == 'r')
            experiment.requestsPerSecond = value;
        else if (letter == 't')
            experiment.length = std::chrono::seconds(count);
        else if (letter == 'p')
            experiment.prefixes = count;
        else if (letter == 'o')
            experiment.hotShare = value / 100;
        else if (letter == 'l')
            experiment.reportLag = std::chrono::milliseconds(count);
        else
            experiment.seed = static_cast<std::uint64_t>(count);
        return true;
    }

    void print(const Entry& entry, const RoutingFigures& figures)
    {
        std::cout << std::left << std::setw(24) << entry.name << std::right << std::fixed
                  << std::setprecision(1) << std::setw(9) << 100.0 * figures.inTime / figures.sent
                  << std::setw(11) << milliseconds(figures.firstTokenMedian) << std::setw(11)
                  << milliseconds(figures.firstTokenP99) << std::setw(10) << figures.prefillPerRequest
                  << "\n";
    }

} // namespace

int runRoutingCommand(int argc, char** argv)
{
    RoutingExperiment experiment;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (letter == 'h') {
            std::cout
                << "usage: almondscale-bench routing [--hosts N] [--engines N] [--rate R] [--seconds S] "
                   "[--lag-ms MS] [--prefixes N] [--hot-percent P] [--seed N]\n";
            return 0;
        }
        if (letter == '?' || !readOption(letter, optarg, experiment))
            return 2;
    }
    std::cout << "hosts=" << experiment.hosts << " engines=" << experiment.engines
              << " rate=" << experiment.requestsPerSecond << " prefixes=" << experiment.prefixes
              << " hot=" << experiment.hotShare << " seed=" << experiment.seed << "\n"
              << "policy                   in-time%  ttft-p50ms ttft-p99ms prefill/request\n";
    for (const auto& entry : entries()) {
        RouterOptions options;
        options.extrapolateReports = entry.estimates;
        if (!entry.estimates)
            options.maxEngineWait = std::chrono::hours(1);
        print(entry, runRouting(experiment, entry.policy, options));
    }
    return 0;
}

} // namespace almondscale
