#include "Command.h"

#include "Http/Json.h"
#include "RulesCommands.h"
#include "StoreCommands.h"
#include "ViewCommands.h"

#include <algorithm>
#include <iostream>
#include <sstream>

namespace almondscale {

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "rules check", "FILE", "Check a rules file.",
            "Checks every line of the file here, without asking a host. Each fault is printed as FILE:LINE: "
            "text.",
            CommandTarget::Nobody, checkRules },
        { "rules apply", "FILE", "Put a rules file in force.",
            "Checks the file and applies it as one change.\n"
            "  --author NAME    who makes the change; $USER if left out\n"
            "  --base VERSION   the version that the file was made from; the one in force if left out\n"
            "  --change ID      the id of an earlier try whose outcome is not known\n"
            "If another change came first, changes to different lines are merged; for the same lines the "
            "change\n"
            "that came first stays in force, and is printed with the lines that clash.",
            CommandTarget::Host, applyRules },
        { "rules show", "", "Print the rules in force at a host.",
            "Prints the text of the rules; with --json also their version and change id.",
            CommandTarget::Host, showRules },
        { "rules history", "", "List the latest changes of the rules.",
            "Lists version, change id, author and time of the latest changes.", CommandTarget::Host,
            showRulesHistory },
        { "status", "", "Show the state of one host.", "Prints key=value lines.", CommandTarget::Host,
            showStatus },
        { "hosts", "", "List the hosts that a host knows.", "Shows each host's state and its rules version.",
            CommandTarget::Host, showHosts },
        { "engines", "", "List the engines.", "Shows each engine's role, state and last reported load.",
            CommandTarget::Host, showEngines },
        { "engines order", "ENGINE KIND VALUE", "Give one engine an order.",
            "KIND is role, load_model, load_adapter or load_version. Ask the host that holds the lease of "
            "the\n"
            "engine's pool, which 'almondscale leases' shows. The engine is emptied first; no request is "
            "cut.",
            CommandTarget::Host, orderEngine },
        { "servers", "", "List the backend servers of a host on the platform.",
            "Shows what the host knows of each: role, state and open work. Ask its port 9464.",
            CommandTarget::Host, showServers },
        { "suspects", "", "List what crashed backend servers have in common.",
            "Shows each content of requests, and each part of prompts, under which servers crashed and no "
            "request\n"
            "was answered since: whether requests are refused for it, the servers, and the age of the last "
            "crash.\n"
            "Ask port 9464 of a host on the platform.",
            CommandTarget::Host, showSuspects },
        { "leases", "", "List the leases of the host's data centre.",
            "Shows the holder and the fencing number of each pool, and the last order of this host.",
            CommandTarget::Host, showLeases },
        { "report burn", "", "Report how fast service-level budgets are spent.",
            "Prints good and total requests, burn rate and budget left per model and organisation.\n"
            "  --json       print JSON\n"
            "  --svg FILE   write a picture",
            CommandTarget::Host, reportBurn },
        { "shutdown", "", "End one host gracefully.",
            "The host tells the balancer, finishes its requests and ends with status 0.", CommandTarget::Host,
            shutDown },
        { "store manifest", "", "Compare the manifest in the platform's store with the hosts'.",
            "Asks every host that the store lists which version it has in force.", CommandTarget::Store,
            showStoredManifest },
        { "store servers", "", "List the backend servers that are registered in the platform's store.",
            "Also lists registrations that cannot be read.", CommandTarget::Store, showStoredServers },
        { "store leases", "", "Show who may give orders to engines, by the platform's store.",
            "Shows the holder and its fencing number.", CommandTarget::Store, showStoredLeases },
        { "store orders", "", "Ask every registered engine for its orders.",
            "Shows the registered role, the role that the engine reports, and how many orders it has "
            "accepted\nsince it started.",
            CommandTarget::Store, showEngineOrders },
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
        const std::string arguments = command.arguments;
        const auto blanks = static_cast<std::size_t>(std::count(arguments.begin(), arguments.end(), ' '));
        const std::size_t most = arguments.empty() ? 0 : blanks + 1;
        if (same && (words.size() == count + most || words.size() == count))
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
