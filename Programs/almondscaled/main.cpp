#include "Core/LogEvent.h"
#include "DaemonOptions.h"
#include "Host.h"
#include "Settings/SettingDefinition.h"
#include "Settings/SettingsReader.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace almondscale;

namespace {

constexpr int exitFailed = 1;
constexpr int exitWrongUse = 2;

std::optional<ReadSettings> loadSettings(const std::string& file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be read; name a readable settings file\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    ReadSettings read = readSettings(text.str());
    for (const SettingError& error : read.errors)
        std::cerr << describe(error, file) << "\n";
    if (!read.errors.empty())
        return std::nullopt;
    return read;
}

int run(const HostSettings& settings)
{
    // Blocked before any thread starts, so that only the waiting thread takes the signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    configureLog(settings.logLevel);
    Host host(settings);
    try {
        host.start();
    } catch (const std::exception& error) {
        LogEvent("start_failed", LogLevel::Error).with("error", error.what());
        return exitFailed;
    }
    std::thread([&] {
        int signal = 0;
        sigwait(&signals, &signal);
        host.requestShutdown();
    }).detach();
    host.waitUntilEnded();
    return 0;
}

} // namespace

int main(int argc, char* argv[])
{
    const DaemonOptions options = parseDaemonOptions(argc, argv);
    switch (options.action) {
    case DaemonOptions::Action::Help:
        std::cout << daemonHelp();
        return 0;
    case DaemonOptions::Action::Version:
        std::cout << "almondscaled " << ALMONDSCALE_VERSION << "\n";
        return 0;
    case DaemonOptions::Action::Reference:
        std::cout << settingsReference();
        return 0;
    case DaemonOptions::Action::Invalid:
        std::cerr << "almondscaled: " << options.error << "; see almondscaled --help\n";
        return exitWrongUse;
    case DaemonOptions::Action::Check:
    case DaemonOptions::Action::Run:
        break;
    }
    const auto read = loadSettings(options.settingsFile);
    if (!read)
        return exitWrongUse;
    if (options.action == DaemonOptions::Action::Check) {
        std::cout << options.settingsFile << ": ok\n";
        return 0;
    }
    return run(read->settings);
}
