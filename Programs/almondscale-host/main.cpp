#include "Core/LogEvent.h"
#include "Host.h"

#include <getopt.h>
#include <malloc.h>

#include <array>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace almondscale;

namespace {

// A host of the planned size logs 35 requests a second, one line each; the rest is for failures.
constexpr double logLinesPerSecond = 150;
constexpr double logBurst = 400;

// Large messages are allocated apart and returned to the operating system when they are freed. By default,
// the C library raises the threshold with the first large block that is freed, and keeps later ones.
constexpr int separateBlockBytes = 128 << 10;
constexpr int maxFreeTopBytes = 256 << 10;

struct Options {
    std::string settings = platform::settingsPath();
    bool check = false;
    bool help = false;
    bool invalid = false;
};

Options readOptions(int argc, char** argv)
{
    static const std::array<option, 4> known { { { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' }, { "help", no_argument, nullptr, 'h' }, {} } };
    Options options;
    for (int found = 0; (found = getopt_long(argc, argv, "s:ch", known.data(), nullptr)) != -1;) {
        switch (found) {
        case 's':
            options.settings = optarg;
            break;
        case 'c':
            options.check = true;
            break;
        case 'h':
            options.help = true;
            break;
        default:
            options.invalid = true;
        }
    }
    return options;
}

platform::NodeSettingsResult loadSettings(const std::string& name)
{
    std::ifstream file(name);
    if (!file)
        return { {},
            { "cannot open the settings file \"" + name + "\"; set its path with --settings FILE" } };
    std::ostringstream text;
    text << file.rdbuf();
    return platform::parseNodeSettings(text.str(), name);
}

int serve(const Options& options)
{
    const auto read = loadSettings(options.settings);
    for (const auto& error : read.errors)
        std::cerr << error << '\n';
    if (!read.errors.empty())
        return 2;
    if (options.check) {
        std::cout << options.settings << ": valid\n";
        return 0;
    }
    configureLog(LogLevel::Info);
    setLogRateLimit(logLinesPerSecond, logBurst);
    return Host(read.settings, [name = options.settings] { return loadSettings(name); }).run();
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = readOptions(argc, argv);
    if (options.help || options.invalid) {
        std::cout << "Usage: almondscale-host [--settings FILE] [--check]\n"
                     "Runs an entry host. FILE is the platform's settings file.\n"
                     "  --check   checks the file and exits\n"
                     "Version " ALMONDSCALE_VERSION "\n";
        return options.invalid ? 2 : 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, separateBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxFreeTopBytes);
    try {
        return serve(options);
    } catch (const std::exception& failure) {
        std::cerr << "almondscale-host: " << failure.what() << '\n';
        return 1;
    }
}
