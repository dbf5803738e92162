#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/PromptPart.h"

#include <optional>
#include <unordered_map>

namespace almondscale {

// When a request with a part was last answered. Bounded; forgets the parts that were not answered lately.
class AnsweredParts {
public:
    void note(PromptPartId, MonotonicTime now);
    std::optional<MonotonicTime> lastAnswered(PromptPartId) const;

private:
    using Times = std::unordered_map<PromptPartId, MonotonicTime>;

    // Parts noted since m_recent was emptied last, and those noted before that.
    Times m_recent;
    Times m_older;
};

} // namespace almondscale
