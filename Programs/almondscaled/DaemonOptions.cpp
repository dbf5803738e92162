#include "DaemonOptions.h"

#include <getopt.h>

namespace almondscale {

DaemonOptions parseDaemonOptions(int argc, char* argv[])
{
    static const option longOptions[] = {
        { "settings", required_argument, nullptr, 's' },
        { "check", no_argument, nullptr, 'c' },
        { "reference", no_argument, nullptr, 'r' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    };
    DaemonOptions options;
    opterr = 0;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "s:chv", longOptions, nullptr)) != -1) {
        switch (letter) {
        case 's':
            options.settingsFile = optarg;
            break;
        case 'c':
            options.action = DaemonOptions::Action::Check;
            break;
        case 'r':
            options.action = DaemonOptions::Action::Reference;
            return options;
        case 'h':
            options.action = DaemonOptions::Action::Help;
            return options;
        case 'v':
            options.action = DaemonOptions::Action::Version;
            return options;
        default:
            options.action = DaemonOptions::Action::Invalid;
            options.error = std::string("unknown or incomplete option ") + argv[optind - 1];
            return options;
        }
    }
    if (optind < argc) {
        options.action = DaemonOptions::Action::Invalid;
        options.error = std::string("unexpected argument ") + argv[optind];
    } else if (options.settingsFile.empty()) {
        options.action = DaemonOptions::Action::Invalid;
        options.error = "--settings FILE is missing";
    }
    return options;
}

const char* daemonHelp()
{
    return "Usage: almondscaled --settings FILE [--check]\n"
           "\n"
           "Serves callers in front of model engines and plain services.\n"
           "\n"
           "  -s, --settings FILE  the settings of this host (INI)\n"
           "  -c, --check          check the settings and exit\n"
           "      --reference      print the reference of all settings and exit\n"
           "  -h, --help           print this help and exit\n"
           "  -v, --version        print the version and exit\n"
           "\n"
           "SIGTERM ends it gracefully: running requests are finished first.\n"
           "Exit status: 0 on success, 1 if it could not start, 2 if options or settings are wrong.\n";
}

} // namespace almondscale
