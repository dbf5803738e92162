#include "Load/LoadMix.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>

namespace almondscale {

namespace {

    constexpr std::int64_t maxPromptWords = 20000;
    constexpr std::int64_t maxAnswerTokens = 4000;

    const std::map<std::string, std::string> knownMixes = {
        { "shift",
            "completion until=0.5 weight=9 prompt-words=800..2000 max-tokens=1..4 organisation=nigam\n"
            "completion from=0.5 weight=9 prompt-words=40..120 max-tokens=40..120 organisation=portones\n"
            "booking weight=2 repeat=0.2 organisation=portones\n" },
        { "long-prompts", "completion prompt-words=800..2000 max-tokens=1..4\n" },
        { "long-answers", "completion prompt-words=40..120 max-tokens=100..300\n" },
        { "short", "completion prompt-words=8..16 max-tokens=1..2\n" },
        { "bookings", "booking repeat=0.3\n" },
    };

    using ReadValue = std::function<bool(MixLine&, const std::string&)>;

    bool readNumber(const std::string& text, double low, double high, double& value)
    {
        char* end = nullptr;
        value = std::strtod(text.c_str(), &end);
        return end != text.c_str() && *end == '\0' && std::isfinite(value) && value >= low && value <= high;
    }

    ReadValue number(double MixLine::*member, double low, double high)
    {
        return
            [=](MixLine& line, const std::string& text) { return readNumber(text, low, high, line.*member); };
    }

    bool readCount(const std::string& text, std::int64_t low, std::int64_t high, std::int64_t& count)
    {
        double value = 0;
        if (!readNumber(text, static_cast<double>(low), static_cast<double>(high), value))
            return false;
        count = static_cast<std::int64_t>(value);
        return static_cast<double>(count) == value;
    }

    ReadValue range(CountRange MixLine::*member, std::int64_t high)
    {
        return [=](MixLine& line, const std::string& text) {
            const std::size_t dots = text.find("..");
            const std::string last = dots == std::string::npos ? text : text.substr(dots + 2);
            CountRange& counts = line.*member;
            return readCount(text.substr(0, dots), 1, high, counts.low)
                && readCount(last, counts.low, high, counts.high);
        };
    }

    const std::map<std::string, ReadValue>& keys()
    {
        static const std::map<std::string, ReadValue> known = {
            { "from", number(&MixLine::from, 0, 1) },
            { "until", number(&MixLine::until, 0, 1) },
            { "weight", number(&MixLine::weight, 0, 1e6) },
            { "prompt-words", range(&MixLine::promptWords, maxPromptWords) },
            { "max-tokens", range(&MixLine::maxTokens, maxAnswerTokens) },
            { "prefixes",
                [](MixLine& line, const std::string& text) {
                    return readCount(text, 1, 10000, line.prefixes);
                } },
            { "prefix-share", number(&MixLine::prefixShare, 0, 1) },
            { "repeat", number(&MixLine::repeat, 0, 1) },
            { "organisation",
                [](MixLine& line, const std::string& text) {
                    line.organisation = text;
                    return !text.empty();
                } },
            { "priority",
                [](MixLine& line, const std::string& text) {
                    std::int64_t value = 0;
                    const bool good = readCount(text, 0, 100, value);
                    line.priority = static_cast<int>(value);
                    return good;
                } },
        };
        return known;
    }

    std::string keyNames()
    {
        std::string names;
        for (const auto& [name, read] : keys())
            names += " " + name;
        return names;
    }

    bool readPair(const std::string& word, MixLine& line)
    {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos)
            return false;
        const auto key = keys().find(word.substr(0, equals));
        return key != keys().end() && key->second(line, word.substr(equals + 1));
    }

    bool readLine(const std::string& text, MixLine& line, std::string& wrong)
    {
        std::istringstream words(text);
        words >> wrong;
        line.booking = wrong == "booking";
        if (!line.booking && wrong != "completion")
            return false;
        while (words >> wrong) {
            if (!readPair(wrong, line))
                return false;
        }
        return true;
    }

} // namespace

std::optional<LoadMix> parseMix(const std::string& text, std::string& error)
{
    LoadMix mix;
    std::istringstream lines(text);
    std::string content;
    for (int number = 1; std::getline(lines, content); ++number) {
        content = content.substr(0, content.find('#'));
        if (content.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        MixLine line;
        std::string wrong;
        if (!readLine(content, line, wrong)) {
            error = "line " + std::to_string(number) + ": '" + wrong
                + "' is not allowed; a line is 'completion' or 'booking', then KEY=VALUE of" + keyNames();
            return std::nullopt;
        }
        mix.lines.push_back(line);
    }
    if (!mix.lines.empty())
        return mix;
    error = "a mix needs at least one line";
    return std::nullopt;
}

std::optional<std::string> namedMix(const std::string& name)
{
    const auto found = knownMixes.find(name);
    if (found == knownMixes.end())
        return std::nullopt;
    return found->second;
}

std::string mixNames()
{
    std::string names;
    for (const auto& [name, text] : knownMixes)
        names += (names.empty() ? "" : " ") + name;
    return names;
}

} // namespace almondscale
