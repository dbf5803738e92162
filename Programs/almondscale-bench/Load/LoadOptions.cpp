#include "Load/LoadOptions.h"

#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace almondscale {

namespace {

    constexpr double maxCallsPerSecond = 20000;
    constexpr double maxSeconds = 3600;
    constexpr double maxStreams = 4000;
    constexpr double maxProbes = 10000;
    constexpr double maxDeadlineMs = 600000;
    constexpr double maxSeed = 9e15;

    constexpr option longOptions[] = {
        { "url", required_argument, nullptr, 'u' },
        { "metrics", required_argument, nullptr, 'c' },
        { "direct-engine", required_argument, nullptr, 'e' },
        { "service", required_argument, nullptr, 's' },
        { "service-name", required_argument, nullptr, 'b' },
        { "model", required_argument, nullptr, 'm' },
        { "rate", required_argument, nullptr, 'r' },
        { "mix", required_argument, nullptr, 'x' },
        { "seconds", required_argument, nullptr, 't' },
        { "seed", required_argument, nullptr, 'd' },
        { "streams", required_argument, nullptr, 'n' },
        { "probes", required_argument, nullptr, 'p' },
        { "deadline-ms", required_argument, nullptr, 'l' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };

    bool complain(const std::string& text)
    {
        std::cerr << "almondscale-bench load: " << text << "; see --help\n";
        return false;
    }

    bool readNumber(const char* text, double low, double high, double& value)
    {
        char* end = nullptr;
        value = std::strtod(text, &end);
        if (end != text && *end == '\0' && value >= low && value <= high)
            return true;
        std::ostringstream allowed;
        allowed << "'" << text << "' must be a number from " << low << " to " << high;
        return complain(allowed.str());
    }

    template <typename Count> bool readCount(const char* text, double low, double high, Count& count)
    {
        double value = 0;
        if (!readNumber(text, low, high, value))
            return false;
        count = static_cast<Count>(value);
        return true;
    }

    template <typename Unit> bool readTime(const char* text, double high, Nanoseconds& time)
    {
        double value = 0;
        if (!readNumber(text, 1, high, value))
            return false;
        time = std::chrono::duration_cast<Nanoseconds>(
            std::chrono::duration<double, typename Unit::period>(value));
        return true;
    }

    // Addresses with or without "http://", separated by commas.
    bool readAddresses(const std::string& text, std::vector<Address>& addresses)
    {
        const std::string scheme = "http://";
        std::istringstream list(text);
        std::string entry;
        while (std::getline(list, entry, ',')) {
            if (entry.compare(0, scheme.size(), scheme) == 0)
                entry.erase(0, scheme.size());
            // A path, such as /metrics, is known.
            entry.erase(std::min(entry.find('/'), entry.size()));
            const std::optional<Address> address = parseAddress(entry);
            if (!address)
                return complain("'" + entry + "' must be http://IP:PORT");
            addresses.push_back(*address);
        }
        return !addresses.empty();
    }

    bool readMix(const std::string& name, LoadMix& mix)
    {
        std::optional<std::string> text = namedMix(name);
        if (!text) {
            std::ifstream file(name);
            if (!file)
                return complain("'" + name + "' is neither a file nor one of the mixes " + mixNames());
            std::ostringstream content;
            content << file.rdbuf();
            text = content.str();
        }
        std::string error;
        const std::optional<LoadMix> read = parseMix(*text, error);
        if (!read)
            return complain(name + ": " + error);
        mix = *read;
        return true;
    }

    bool readOption(int letter, const char* text, LoadOptions& options)
    {
        switch (letter) {
        case 'u':
            return readAddresses(text, options.hosts);
        case 'c':
            return readAddresses(text, options.metrics);
        case 'e':
            return readAddresses(text, options.directEngines);
        case 's':
            return readAddresses(text, options.services);
        case 'b':
            options.calls.service = text;
            return true;
        case 'm':
            options.calls.model = text;
            return true;
        case 'r':
            return readNumber(text, 0.1, maxCallsPerSecond, options.callsPerSecond);
        case 'x':
            return readMix(text, options.mix);
        case 't':
            return readTime<std::chrono::seconds>(text, maxSeconds, options.length);
        case 'd':
            return readCount(text, 0, maxSeed, options.seed);
        case 'n':
            return readCount(text, 1, maxStreams, options.streams);
        case 'p':
            return readCount(text, 0, maxProbes, options.probes);
        case 'l':
            return readTime<std::chrono::milliseconds>(text, maxDeadlineMs, options.calls.deadline);
        case 'h':
            options.help = true;
            return true;
        default:
            return false;
        }
    }

    bool checkWhole(const LoadOptions& options)
    {
        if (options.help)
            return true;
        if (options.hosts.empty())
            return complain("--url is missing");
        const bool books = std::any_of(options.mix.lines.begin(), options.mix.lines.end(),
            [](const MixLine& line) { return line.booking; });
        if (books && options.services.empty())
            return complain("the mix has bookings, so --service must tell where their runs are counted");
        return true;
    }

} // namespace

std::optional<LoadOptions> parseLoadOptions(int argc, char** argv)
{
    LoadOptions options;
    readMix("shift", options.mix);
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
        complain(std::string("unexpected argument '") + argv[optind] + "'");
        return std::nullopt;
    }
    if (!checkWhole(options))
        return std::nullopt;
    return options;
}

void printLoadUsage()
{
    std::cout
        << "usage: almondscale-bench load --url URL[,URL...] [OPTION]...\n"
           "  --url URL,...            hosts to call, as http://IP:PORT\n"
           "  --model NAME             the model to ask for, 'model' by default\n"
           "  --service URL,...        the services that run the bookings, whose /runs is read at the end\n"
           "  --service-name NAME      the name of the service in the rules, 'booking' by default\n"
           "  --metrics URL,...        the hosts' operator addresses, where their processor time is read\n"
           "  --direct-engine URL,...  engines of the model that are called directly for comparison\n"
           "  --probes N               pairs of calls through a host and direct, 300 by default\n"
           "  --rate R                 calls a second over all hosts, 20 by default\n"
           "  --mix NAME|FILE          the kinds of calls, 'shift' by default; names: "
        << mixNames()
        << "\n"
           "  --seconds S              length of the run, 30 by default\n"
           "  --streams N              most calls at once, 200 by default\n"
           "  --deadline-ms N          deadline of each call, 10000 by default\n"
           "  --seed N                 seed of the run, 1 by default\n"
           "The exit status is 0 only if no call failed and no booking was doubled or lost.\n";
}

} // namespace almondscale
