#include "Command.h"

#include "Http/Json.h"
#include "RulesCommands.h"
#include "ViewCommands.h"

#include <iostream>
#include <sstream>

namespace almondscale {

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "rules check", "FILE", "Check a rules file.",
            "Checks every line of the file here, without asking a host. Each fault is printed as FILE:LINE: "
            "text.",
            false, checkRules },
        { "rules apply", "FILE", "Put a rules file in force.",
            "Checks the file and applies it as one change.\n"
            "  --author NAME    who makes the change; $USER if left out\n"
            "  --base VERSION   the version that the file was made from; the one in force if left out\n"
            "  --change ID      the id of an earlier try whose outcome is not known\n"
            "If another change came first, changes to different lines are merged; for the same lines the "
            "change\n"
            "that came first stays in force, and is printed with the lines that clash.",
            true, applyRules },
        { "rules show", "", "Print the rules in force at a host.",
            "Prints the text of the rules; with --json also their version and change id.", true, showRules },
        { "rules history", "", "List the latest changes of the rules.",
            "Lists version, change id, author and time of the latest changes.", true, showRulesHistory },
        { "status", "", "Show the state of one host.", "Prints key=value lines.", true, showStatus },
        { "hosts", "", "List the hosts that a host knows.", "Shows each host's state and its rules version.",
            true, showHosts },
        { "engines", "", "List the engines.", "Shows each engine's role, state and last reported load.", true,
            showEngines },
        { "shutdown", "", "End one host gracefully.",
            "The host tells the balancer, finishes its requests and ends with status 0.", true, shutDown },
    };
    return all;
}

const Command* findCommand(const std::vector<std::string>& words)
{
    for (const Command& command : commands()) {
        std::istringstream name(command.name);
        std::size_t count = 0;
        bool same = true;
        for (std::string word; name >> word; ++count)
            same = same && count < words.size() && words[count] == word;
        const std::size_t arguments = *command.arguments ? 1 : 0;
        if (same && (words.size() == count + arguments || words.size() == count))
            return &command;
    }
    return nullptr;
}

ExitStatus reportFailure(const CallResult& result)
{
    if (!result.ok()) {
        const bool notSent = result.failure == CallFailure::NotSent;
        std::cerr << (notSent ? "the host cannot be reached; check --host\n"
                              : "the host's answer was lost; look at its state and try again\n");
        return ExitStatus::Unreachable;
    }
    const auto json = parseJson(result.response->body);
    const JsonValue* error = json ? jsonMember(*json, "error") : nullptr;
    if (error)
        std::cerr << jsonString(*error, "kind") << ": " << jsonString(*error, "message") << "\n";
    else
        std::cerr << "the host answered " << result.response->status << "\n";
    return ExitStatus::Refused;
}

} // namespace almondscale
