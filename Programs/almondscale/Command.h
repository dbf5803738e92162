#pragma once

#include "ExitStatus.h"
#include "HostConnection.h"
#include "ToolOptions.h"

#include <functional>
#include <string>
#include <vector>

namespace almondscale {

// Whom a command asks.
enum class CommandTarget {
    Nobody,
    Host,
    Store,
};

// One command of the tool.
struct Command {
    // One or two words, such as "rules apply".
    const char* name;
    const char* arguments;
    const char* summary;
    const char* help;
    CommandTarget target;
    std::function<ExitStatus(const ToolOptions&, const HostConnection&)> run;
};

// All commands, in the order of the help.
const std::vector<Command>& commands();

// The command that the words begin with, or nothing.
const Command* findCommand(const std::vector<std::string>& words);

// Prints an answer that is not a success to standard error.
ExitStatus reportFailure(const CallResult&);

} // namespace almondscale
