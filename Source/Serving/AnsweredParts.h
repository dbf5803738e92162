#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/PromptPart.h"

#include <optional>
#include <unordered_map>

namespace almondscale {

// When a request with a part was last answered. Bounded; forgets the parts that were not answered lately, and
// first those that were answered only once, so that prompts with many new parts do not displace shared ones.
class AnsweredParts {
public:
    void note(PromptPartId, MonotonicTime now);
    std::optional<MonotonicTime> lastAnswered(PromptPartId) const;

private:
    // Times of a bounded number of parts, the oldest of which are dropped together.
    class Times {
    public:
        bool has(PromptPartId) const;
        void set(PromptPartId, MonotonicTime);
        void erase(PromptPartId);
        std::optional<MonotonicTime> find(PromptPartId) const;

    private:
        using Map = std::unordered_map<PromptPartId, MonotonicTime>;

        // Parts set since m_recent was emptied last, and those set before that.
        Map m_recent;
        Map m_older;
    };

    Times m_once;
    Times m_repeatedly;
};

} // namespace almondscale
