#include "CompareCommand.h"
#include "ControlCommand.h"
#include "RoutingCommand.h"
#include "ShiftCommand.h"

#include "Load/LoadCommand.h"

#include <cstring>
#include <iostream>

namespace {

// One experiment: its name on the command line and the function that runs it.
struct Command {
    const char* name;
    const char* help;
    // Gets the arguments from the command's name on; returns the exit status.
    int (*run)(int argc, char** argv);
};

constexpr Command commands[] = {
    { "compare", "all role policies on the same arrivals, against the clairvoyant bound",
        almondscale::runCompareCommand },
    { "control", "cost and delays of the control traffic between hosts", almondscale::runControlCommand },
    { "load", "HTTP load on running hosts, with every answer checked in full", almondscale::runLoadCommand },
    { "routing", "routing policies on the same arrivals at hosts with late load reports",
        almondscale::runRoutingCommand },
    { "shift", "goodput and role changes of one policy under a moving mix", almondscale::runShiftCommand },
};

void printUsage(std::ostream& out)
{
    out << "usage: almondscale-bench COMMAND [OPTION]...\n"
        << "Run 'almondscale-bench COMMAND --help' for the options of one command.\n\n";
    for (const auto& command : commands)
        out << "  " << command.name << "\t" << command.help << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        printUsage(std::cerr);
        return 2;
    }
    if (std::strcmp(argv[1], "--help") == 0) {
        printUsage(std::cout);
        return 0;
    }
    for (const auto& command : commands) {
        if (std::strcmp(argv[1], command.name) == 0)
            return command.run(argc - 1, argv + 1);
    }
    std::cerr << "almondscale-bench: unknown command '" << argv[1] << "'\n";
    printUsage(std::cerr);
    return 2;
}
