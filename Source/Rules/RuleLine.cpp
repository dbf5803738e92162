#include "Rules/RuleLine.h"

#include "Rules/TextLines.h"

#include <algorithm>
#include <sstream>

namespace almondscale {

namespace {

    constexpr std::size_t maxLineBytes = 2000;
    constexpr const char* whitespace = " \t\r";

    bool isBlank(const std::string& text) { return text.find_first_not_of(whitespace) == std::string::npos; }

    bool isControl(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t' && c != '\r') || byte == 0x7f;
    }

    class RuleTokenizer {
    public:
        void tokenizeLine(int line, const std::string& text)
        {
            if (text.size() > maxLineBytes)
                return fail(line,
                    "line of " + std::to_string(text.size()) + " bytes; allowed: at most "
                        + std::to_string(maxLineBytes));
            if (std::any_of(text.begin(), text.end(), isControl))
                return fail(line, "control character; allowed: printable text");
            const auto hash = text.find('#');
            const auto rule = text.substr(0, hash);
            if (isBlank(rule))
                return;
            if (hash == std::string::npos || isBlank(text.substr(hash + 1)))
                return fail(line, "rule without a comment; end it with '# who asked for it'");
            tokenizeRule(line, rule);
        }

        RuleLines take() { return std::move(m_result); }

    private:
        void tokenizeRule(int line, const std::string& rule)
        {
            RuleLine result;
            result.line = line;
            std::istringstream words(rule);
            words >> result.keyword >> result.name;
            if (result.name.empty() || result.name.find('=') != std::string::npos)
                return fail(line, "'" + result.keyword + "' without a name; allowed: a name after the word");
            for (std::string pair; words >> pair;) {
                if (!addAttribute(result, pair))
                    return;
            }
            m_result.lines.push_back(std::move(result));
        }

        bool addAttribute(RuleLine& rule, const std::string& pair)
        {
            const auto equals = pair.find('=');
            if (equals == std::string::npos || equals == 0 || equals + 1 == pair.size()) {
                fail(rule.line, "'" + pair + "'; allowed: key=value");
                return false;
            }
            const auto key = pair.substr(0, equals);
            if (rule.attributes.emplace(key, pair.substr(equals + 1)).second)
                return true;
            fail(rule.line, "key '" + key + "' stands twice; allowed: once");
            return false;
        }

        void fail(int line, std::string text) { m_result.errors.push_back({ line, std::move(text) }); }

        RuleLines m_result;
    };

} // namespace

RuleLines tokenizeRules(const std::string& text)
{
    RuleTokenizer tokenizer;
    int line = 0;
    for (const auto& content : splitLines(text))
        tokenizer.tokenizeLine(++line, content);
    return tokenizer.take();
}

} // namespace almondscale
