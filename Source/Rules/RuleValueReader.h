#pragma once

#include "Core/Address.h"
#include "Rules/RuleError.h"
#include "Rules/RuleLine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// Reads and validates the values of one rule and appends its errors to a list.
// A method whose value is missing or invalid records an error; the value that it returns then must
// not be used, so the caller discards the rule unless ok().
class RuleValueReader {
public:
    RuleValueReader(const RuleLine&, std::vector<RuleError>&);

    // Records an error for each key that is not in the list.
    void rejectKeysExcept(const std::vector<std::string>&);

    std::string ruleName();
    // Like ruleName(), but also accepts "*" for any.
    std::string ruleNameOrAny();
    std::string name(const std::string& key);
    std::string nameOrAny(const std::string& key);
    std::string path(const std::string& key);
    std::string choice(const std::string& key, const std::vector<std::string>& allowed);
    std::string choiceOr(
        const std::string& key, const std::vector<std::string>& allowed, const std::string& fallback);
    Address address(const std::string& key);
    // Returns a value in [minimum, maximum].
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    // Returns a value in (exclusiveMinimum, maximum].
    double decimal(const std::string& key, double exclusiveMinimum, double maximum);

    // Records an error on the line of the rule.
    void fail(std::string text);
    // Whether no error was recorded so far.
    bool ok() const { return m_ok; }

private:
    const std::string* find(const std::string& key);
    std::string checkedName(const std::string& what, const std::string& text);
    void failValue(const std::string& key, const std::string& text, const std::string& allowed);

    const RuleLine& m_rule;
    std::vector<RuleError>& m_errors;
    bool m_ok = true;
};

} // namespace almondscale
