#include "Rules/RuleValueReader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace almondscale {

namespace {

    constexpr std::size_t maxNameBytes = 100;
    constexpr const char* any = "*";

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
            || c == '_' || c == '-';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= maxNameBytes
            && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    std::string joinWords(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : ", ") + word;
        return text;
    }

    std::string formatNumber(double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

} // namespace

RuleValueReader::RuleValueReader(const RuleLine& rule, std::vector<RuleError>& errors)
    : m_rule(rule)
    , m_errors(errors)
{
}

void RuleValueReader::rejectKeysExcept(const std::vector<std::string>& keys)
{
    for (const auto& pair : m_rule.attributes) {
        if (std::find(keys.begin(), keys.end(), pair.first) != keys.end())
            continue;
        const auto allowed = keys.empty() ? std::string("no key") : joinWords(keys);
        fail("unknown key '" + pair.first + "' of '" + m_rule.keyword + "'; allowed: " + allowed);
    }
}

std::string RuleValueReader::ruleName() { return checkedName("name", m_rule.name); }

std::string RuleValueReader::ruleNameOrAny() { return m_rule.name == any ? m_rule.name : ruleName(); }

std::string RuleValueReader::name(const std::string& key)
{
    const auto* text = find(key);
    return text ? checkedName(key, *text) : std::string();
}

std::string RuleValueReader::nameOrAny(const std::string& key)
{
    const auto* text = find(key);
    if (!text)
        return {};
    return *text == any ? *text : checkedName(key, *text);
}

std::string RuleValueReader::path(const std::string& key)
{
    const auto* text = find(key);
    if (!text)
        return {};
    if (text->front() != '/' || text->find('?') != std::string::npos)
        failValue(key, *text, "a path that begins with '/' and has no '?'");
    return *text;
}

std::string RuleValueReader::choice(const std::string& key, const std::vector<std::string>& allowed)
{
    const auto* text = find(key);
    if (!text)
        return {};
    if (std::find(allowed.begin(), allowed.end(), *text) == allowed.end())
        failValue(key, *text, joinWords(allowed));
    return *text;
}

std::string RuleValueReader::choiceOr(
    const std::string& key, const std::vector<std::string>& allowed, const std::string& fallback)
{
    return m_rule.attributes.count(key) ? choice(key, allowed) : fallback;
}

Address RuleValueReader::address(const std::string& key)
{
    const auto* text = find(key);
    if (!text)
        return {};
    const auto address = parseAddress(*text);
    if (address)
        return *address;
    failValue(key, *text, "IP:PORT");
    return {};
}

std::int64_t RuleValueReader::integer(const std::string& key, std::int64_t minimum, std::int64_t maximum)
{
    const auto* text = find(key);
    if (!text)
        return minimum;
    std::int64_t value = 0;
    const auto* end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, value);
    if (read.ec == std::errc() && read.ptr == end && value >= minimum && value <= maximum)
        return value;
    failValue(
        key, *text, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

double RuleValueReader::decimal(const std::string& key, double exclusiveMinimum, double maximum)
{
    const auto* text = find(key);
    if (!text)
        return maximum;
    double value = 0;
    const auto* end = text->data() + text->size();
    const auto read = std::from_chars(text->data(), end, value);
    const bool complete = read.ec == std::errc() && read.ptr == end && std::isfinite(value);
    if (complete && value > exclusiveMinimum && value <= maximum)
        return value;
    failValue(key, *text,
        "a number above " + formatNumber(exclusiveMinimum) + " and up to " + formatNumber(maximum));
    return maximum;
}

void RuleValueReader::fail(std::string text)
{
    m_ok = false;
    m_errors.push_back({ m_rule.line, std::move(text) });
}

const std::string* RuleValueReader::find(const std::string& key)
{
    const auto pair = m_rule.attributes.find(key);
    if (pair != m_rule.attributes.end())
        return &pair->second;
    fail("'" + m_rule.keyword + "' without the key '" + key + "'; add " + key + "=");
    return nullptr;
}

std::string RuleValueReader::checkedName(const std::string& what, const std::string& text)
{
    if (!isName(text))
        failValue(what, text, "up to 100 letters, digits, '.', '_' and '-'");
    return text;
}

void RuleValueReader::failValue(const std::string& key, const std::string& text, const std::string& allowed)
{
    fail(key + " is '" + text + "'; allowed: " + allowed);
}

} // namespace almondscale
