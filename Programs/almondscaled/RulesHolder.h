#pragma once

#include "Rules/RuleSet.h"

#include <memory>
#include <mutex>

namespace almondscale {

// Hands the rules in force to the threads that serve requests.
class RulesHolder {
public:
    // Nothing before the host holds rules.
    std::shared_ptr<const RuleSet> get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_rules;
    }

    void set(std::shared_ptr<const RuleSet> rules)
    {
        const std::lock_guard lock(m_mutex);
        m_rules = std::move(rules);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const RuleSet> m_rules;
};

} // namespace almondscale
