#include "ControlOptions.h"

#include <getopt.h>

#include <cerrno>
#include <cstdlib>
#include <iostream>
#include <string>

namespace almondscale {

namespace {

    constexpr option longOptions[] = {
        { "hosts", required_argument, nullptr, 'n' },
        { "changes", required_argument, nullptr, 'c' },
        { "failures", required_argument, nullptr, 'f' },
        { "replacements", required_argument, nullptr, 'r' },
        { "speedup", required_argument, nullptr, 'u' },
        { "data-centres", required_argument, nullptr, 'd' },
        { "seconds", required_argument, nullptr, 't' },
        { "loss", required_argument, nullptr, 'l' },
        { "rules-bytes", required_argument, nullptr, 'b' },
        { "repeats", required_argument, nullptr, 'p' },
        { "seed", required_argument, nullptr, 's' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };

    bool readNumber(const char* text, double low, double high, double& value)
    {
        char* end = nullptr;
        errno = 0;
        value = std::strtod(text, &end);
        if (errno == 0 && end != text && *end == '\0' && value >= low && value <= high)
            return true;
        std::cerr << "almondscale-bench control: '" << text << "' must be a number from " << low << " to "
                  << high << "\n";
        return false;
    }

    bool readCount(const char* text, int low, int high, int& count)
    {
        double value = 0;
        if (!readNumber(text, low, high, value))
            return false;
        count = static_cast<int>(value);
        return true;
    }

    bool readRepeats(const std::string& text, PingRepeats& repeats)
    {
        if (text == "none")
            repeats = PingRepeats::None;
        else if (text == "plain")
            repeats = PingRepeats::Plain;
        else if (text == "growing")
            repeats = PingRepeats::Growing;
        else {
            std::cerr << "almondscale-bench control: '" << text << "' must be none, plain or growing\n";
            return false;
        }
        return true;
    }

    bool readOption(int letter, const char* text, ControlOptions& options)
    {
        switch (letter) {
        case 'n':
            return readCount(text, 1, 1000, options.hosts);
        case 'c':
            return readCount(text, 0, 86400, options.changesPerDay);
        case 'f':
            return readCount(text, 0, 86400, options.failuresPerDay);
        case 'r':
            return readCount(text, 0, 86400, options.replacementsPerDay);
        case 'u':
            return readCount(text, 1, 1000, options.speedup);
        case 'd':
            return readCount(text, 1, 50, options.dataCentres);
        case 't':
            return readCount(text, 10, 86400, options.seconds);
        case 'l':
            return readNumber(text, 0, 0.5, options.loss);
        case 'b':
            return readCount(text, 1, 10000000, options.rulesBytes);
        case 'p':
            return readRepeats(text, options.repeats);
        case 's': {
            double value = 0;
            if (!readNumber(text, 0, 9e15, value))
                return false;
            options.seed = static_cast<std::uint64_t>(value);
            return true;
        }
        case 'h':
            options.help = true;
            return true;
        default:
            return false;
        }
    }

} // namespace

std::optional<ControlOptions> parseControlOptions(int argc, char** argv)
{
    ControlOptions options;
    optind = 1;
    for (;;) {
        // The command line is read before any other thread starts.
        const int letter = getopt_long(argc, argv, "", longOptions, nullptr);
        if (letter == -1)
            break;
        if (!readOption(letter, optarg, options))
            return std::nullopt;
    }
    if (optind < argc) {
        std::cerr << "almondscale-bench control: unexpected argument '" << argv[optind] << "'\n";
        return std::nullopt;
    }
    return options;
}

void printControlUsage()
{
    std::cout
        << "usage: almondscale-bench control [OPTION]...\n"
           "  --hosts N         hosts, 8 by default\n"
           "  --data-centres N  data centres that the hosts are spread over, 5 by default\n"
           "  --changes N       changes of the rules a day, 270 by default\n"
           "  --failures N      failures of hosts a day, 10 by default\n"
           "  --replacements N  restarts and replacements of hosts a day, 150 by default\n"
           "  --speedup N       how many times faster than on an ordinary day they come, 20 by default\n"
           "  --seconds N       simulated seconds that are measured, 120 by default\n"
           "  --loss P          share of messages lost, 0 by default\n"
           "  --seed N          seed of the experiment, 1 by default\n";
}

} // namespace almondscale
