#pragma once

#include <string>

namespace almondscale {

// What the command line of the daemon asks for.
struct DaemonOptions {
    enum class Action {
        Run,
        Check,
        Help,
        Version,
        Reference,
        Invalid,
    };

    Action action = Action::Run;
    std::string settingsFile;
    std::string error;
};

DaemonOptions parseDaemonOptions(int argc, char* argv[]);

// The text of --help.
const char* daemonHelp();

} // namespace almondscale
