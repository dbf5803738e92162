#include "RulesCommands.h"

#include "Core/RandomSource.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "Rules/RulesParser.h"
#include "TextTable.h"

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace almondscale {

namespace {

    std::optional<std::string> readFile(const std::string& file)
    {
        std::ifstream in(file);
        if (!in) {
            std::cerr << file << ": cannot be read; name a readable rules file\n";
            return std::nullopt;
        }
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    void printErrors(const std::string& file, const std::vector<RuleError>& errors)
    {
        for (const RuleError& error : errors)
            std::cerr << file << ":" << error.line << ": " << error.text << "\n";
    }

    std::string newChangeId()
    {
        const RandomSource random = systemRandom();
        char text[40];
        std::snprintf(text, sizeof text, "change-%016llx%08llx", static_cast<unsigned long long>(random()),
            static_cast<unsigned long long>(random() >> 32));
        return text;
    }

    std::string option(const ToolOptions& options, const char* name, const std::string& fallback)
    {
        const auto found = options.values.find(name);
        return found == options.values.end() ? fallback : found->second;
    }

    // The version that the change is made from: as named, or the one in force.
    std::optional<std::int64_t> baseVersion(const ToolOptions& options, const HostConnection& host)
    {
        const std::string named = option(options, "base", "");
        if (!named.empty())
            return std::strtoll(named.c_str(), nullptr, 10);
        const CallResult current = host.get("/rules");
        if (!current.ok())
            return std::nullopt;
        const auto json = parseJson(current.response->body);
        // A host without rules says so; the first version is made from none.
        return json ? jsonInteger(*json, "version") : 0;
    }

    void printLines(const char* label, const JsonValue* lines)
    {
        if (!lines || !lines->IsArray())
            return;
        for (const JsonValue& line : lines->GetArray())
            std::cerr << label << (line.IsString() ? line.GetString() : "") << "\n";
    }

    void printClashes(const std::string& file, const JsonValue& answer)
    {
        const JsonValue* winner = jsonMember(answer, "winner");
        if (winner)
            std::cerr << "change " << jsonString(*winner, "change") << " by " << jsonString(*winner, "author")
                      << " came first as version " << jsonInteger(*winner, "version") << "\n";
        const JsonValue* clashes = jsonMember(answer, "clashes");
        if (!clashes || !clashes->IsArray())
            return;
        for (const JsonValue& clash : clashes->GetArray()) {
            std::cerr << file << ":" << jsonInteger(clash, "your_line") << ": clashes with line "
                      << jsonInteger(clash, "winner_line") << " of the version in force:\n";
            printLines("  in force: ", jsonMember(clash, "winner_lines"));
            printLines("  yours:    ", jsonMember(clash, "your_lines"));
        }
        std::cerr << "show the rules in force with 'almondscale rules show', put your change into them, "
                     "apply again\n";
    }

    void printRuleErrors(const std::string& file, const JsonValue& answer)
    {
        const JsonValue* errors = jsonMember(answer, "errors");
        if (!errors || !errors->IsArray())
            return;
        for (const JsonValue& error : errors->GetArray())
            std::cerr << file << ":" << jsonInteger(error, "line") << ": " << jsonString(error, "text")
                      << "\n";
    }

    ExitStatus applyStatus(const std::string& outcome)
    {
        if (outcome == "applied" || outcome == "merged" || outcome == "unchanged")
            return ExitStatus::Success;
        if (outcome == "clash" || outcome == "unknown_base")
            return ExitStatus::Conflict;
        return outcome == "unknown" ? ExitStatus::Unknown : ExitStatus::Refused;
    }

} // namespace

ExitStatus checkRules(const ToolOptions& options, const HostConnection&)
{
    const std::string& file = options.words[2];
    const auto text = readFile(file);
    if (!text)
        return ExitStatus::WrongUse;
    const ParsedRules parsed = parseRules(*text);
    printErrors(file, parsed.errors);
    if (!parsed.ok())
        return ExitStatus::Refused;
    if (options.json)
        std::cout << JsonBuilder().flag("ok", true).finish() << "\n";
    else
        std::cout << file << ": ok\n";
    return ExitStatus::Success;
}

ExitStatus applyRules(const ToolOptions& options, const HostConnection& host)
{
    const std::string& file = options.words[2];
    const auto text = readFile(file);
    if (!text)
        return ExitStatus::WrongUse;
    const ParsedRules parsed = parseRules(*text);
    printErrors(file, parsed.errors);
    if (!parsed.ok())
        return ExitStatus::Refused;
    const auto base = baseVersion(options, host);
    if (!base)
        return reportFailure({});
    const char* user = std::getenv("USER");
    const std::string change = option(options, "change", newChangeId());
    JsonBuilder body;
    body.integer("base", *base)
        .text("change", change)
        .text("author", option(options, "author", user ? user : "unknown"))
        .integer("unix_seconds", std::time(nullptr))
        .text("text", *text);
    const CallResult result = host.post("/rules/apply", body.finish());
    const auto answer = result.ok() ? parseJson(result.response->body) : std::nullopt;
    if (!answer || !jsonMember(*answer, "outcome")) {
        std::cerr << "repeat with --change " << change << " to learn what became of it\n";
        return reportFailure(result);
    }
    const std::string outcome = jsonString(*answer, "outcome");
    printRuleErrors(file, *answer);
    if (applyStatus(outcome) == ExitStatus::Conflict)
        printClashes(file, *answer);
    if (applyStatus(outcome) == ExitStatus::Unknown)
        std::cerr << "repeat with --change " << change << " to learn what became of it\n";
    if (options.json)
        std::cout << result.response->body << "\n";
    else
        std::cout << outcome << " version=" << jsonInteger(*answer, "version") << " change=" << change
                  << "\n";
    return applyStatus(outcome);
}

ExitStatus showRules(const ToolOptions& options, const HostConnection& host)
{
    const CallResult result = host.get("/rules");
    if (!result.ok() || result.response->status != 200)
        return reportFailure(result);
    const auto json = parseJson(result.response->body);
    if (options.json || !json)
        std::cout << result.response->body << "\n";
    else
        std::cout << jsonString(*json, "text");
    return ExitStatus::Success;
}

ExitStatus showRulesHistory(const ToolOptions& options, const HostConnection& host)
{
    const CallResult result = host.get("/rules/history");
    if (!result.ok() || result.response->status != 200)
        return reportFailure(result);
    printRows(result.response->body, "changes",
        { { "VERSION", "version" }, { "CHANGE", "change" }, { "AUTHOR", "author" },
            { "UNIX_SECONDS", "unix_seconds" } },
        options.json);
    return ExitStatus::Success;
}

} // namespace almondscale
