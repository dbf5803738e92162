#include "Shift/ShiftOptions.h"

#include "Shift/ShiftRun.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <sstream>

namespace almondscale {

namespace {

    constexpr const char* defaultFleet = "nigam";
    constexpr const char* defaultMix = "swing";
    constexpr double defaultLoad = 0.8;
    constexpr double highestLoad = 10;

    std::string joined(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    std::optional<std::string> fileText(const std::string& name)
    {
        std::ifstream in(name);
        if (!in)
            return std::nullopt;
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    std::string setFleet(const std::string& name, ShiftOptions& options)
    {
        auto fleet = builtInFleet(name);
        std::string error;
        if (!fleet) {
            const auto text = fileText(name);
            if (!text)
                return "--fleet " + name + ": expected nigam, portones or a readable file";
            fleet = readFleet(*text, error);
        }
        if (!fleet)
            return "--fleet " + name + ": " + error;
        fleet->name = name;
        options.fleet = *fleet;
        return {};
    }

    // Rates of a file are taken as they are unless a load is asked for.
    std::string setMix(const std::string& name, ShiftOptions& options)
    {
        auto mix = builtInMix(name);
        if (mix && options.load <= 0)
            options.load = defaultLoad;
        std::string error;
        if (!mix) {
            const auto text = fileText(name);
            if (!text)
                return "--mix " + name + ": expected " + joined(builtInMixNames()) + " or a readable file";
            mix = readMix(*text, error);
        }
        if (!mix)
            return "--mix " + name + ": " + error;
        mix->name = name;
        options.mix = *mix;
        return {};
    }

    std::string setSeeds(const std::string& text, ShiftOptions& options)
    {
        options.seeds.clear();
        std::istringstream in(text);
        std::string part;
        while (std::getline(in, part, ',')) {
            char* end = nullptr;
            const auto seed = std::strtoull(part.c_str(), &end, 10);
            if (part.empty() || *end != '\0')
                return "--seed " + text + ": expected whole numbers, separated by commas";
            options.seeds.push_back(seed);
        }
        return options.seeds.empty() ? "--seed: expected a whole number" : "";
    }

    std::string setLoad(const std::string& text, ShiftOptions& options)
    {
        char* end = nullptr;
        options.load = std::strtod(text.c_str(), &end);
        if (*end != '\0' || !(options.load > 0) || options.load > highestLoad)
            return "--load " + text + ": expected a number above 0, at most 10";
        return {};
    }

    std::string setFault(const std::string& name, ShiftOptions& options)
    {
        const auto fault = parseShiftFault(name);
        if (!fault)
            return "--faults " + name + ": expected " + joined(shiftFaultNames());
        options.fault = *fault;
        options.faultName = name;
        return {};
    }

    std::string setPolicy(const std::string& name, ShiftOptions& options)
    {
        const auto& known = ShiftRun::policies();
        if (std::find(known.begin(), known.end(), name) == known.end())
            return "--policy " + name + ": expected " + joined(known);
        options.policy = name;
        return {};
    }

} // namespace

std::string readShiftOptions(int argc, char** argv, ShiftOptions& options)
{
    static const option longOptions[] = {
        { "fleet", required_argument, nullptr, 'f' },
        { "mix", required_argument, nullptr, 'm' },
        { "policy", required_argument, nullptr, 'p' },
        { "seed", required_argument, nullptr, 's' },
        { "load", required_argument, nullptr, 'l' },
        { "faults", required_argument, nullptr, 'x' },
        { "svg", required_argument, nullptr, 'g' },
        { "json", no_argument, nullptr, 'j' },
        { "help", no_argument, nullptr, 'h' },
        { nullptr, 0, nullptr, 0 },
    };
    std::string fleet = defaultFleet;
    std::string mix = defaultMix;
    std::string error;
    optind = 1;
    for (int word = 0; error.empty() && (word = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (word) {
        case 'f':
            fleet = optarg;
            break;
        case 'm':
            mix = optarg;
            break;
        case 'p':
            error = setPolicy(optarg, options);
            break;
        case 's':
            error = setSeeds(optarg, options);
            break;
        case 'l':
            error = setLoad(optarg, options);
            break;
        case 'x':
            error = setFault(optarg, options);
            break;
        case 'g':
            options.svgFile = optarg;
            break;
        case 'j':
            options.json = true;
            break;
        case 'h':
            options.help = true;
            return {};
        default:
            error = "see --help for the options";
        }
    }
    if (error.empty() && optind < argc)
        error = std::string("unexpected '") + argv[optind] + "'; see --help";
    if (error.empty())
        error = setFleet(fleet, options);
    if (error.empty())
        error = setMix(mix, options);
    if (error.empty() && options.load > 0)
        scaleLoad(options.mix, options.fleet, options.load);
    return error;
}

void printShiftUsage()
{
    std::cout << "  --fleet nigam|portones|FILE   the engines and hosts [" << defaultFleet << "]\n"
              << "  --mix NAME|FILE               what callers ask for [" << defaultMix
              << "]; names: " << joined(builtInMixNames()) << "\n"
              << "  --load F                      mean load as a share of capacity [" << defaultLoad
              << " for a named mix, else the file's rates]\n"
              << "  --seed N[,N...]               seeds of the arrivals [1]\n"
              << "  --faults NAME                 " << joined(shiftFaultNames()) << " [none]\n"
              << "  --json                        print JSON\n"
              << "goodput is in answers per second that are complete and in time.\n";
}

} // namespace almondscale
