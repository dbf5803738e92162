#pragma once

#include "Core/Address.h"
#include "Rules/RuleError.h"
#include "Rules/RuleLine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// Reads the values of one rule and notes what is wrong with them.
class RuleValueReader {
public:
    RuleValueReader(const RuleLine&, std::vector<RuleError>&);

    // Refuses every key that is not allowed in this rule.
    void rejectKeysExcept(const std::vector<std::string>&);

    std::string ruleName();
    // The rule's name, where "*" stands for any.
    std::string ruleNameOrAny();
    std::string name(const std::string& key);
    std::string nameOrAny(const std::string& key);
    std::string path(const std::string& key);
    std::string choice(const std::string& key, const std::vector<std::string>& allowed);
    std::string choiceOr(
        const std::string& key, const std::vector<std::string>& allowed, const std::string& fallback);
    Address address(const std::string& key);
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    double decimal(const std::string& key, double exclusiveMinimum, double maximum);

    void fail(std::string text);
    // Whether everything read so far was right.
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
