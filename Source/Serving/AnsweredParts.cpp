#include "Serving/AnsweredParts.h"

#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t maxRecentParts = 4096;

} // namespace

void AnsweredParts::note(PromptPartId part, MonotonicTime now)
{
    if (m_recent.size() >= maxRecentParts && m_recent.count(part) == 0)
        m_older = std::exchange(m_recent, {});
    m_recent[part] = now;
}

std::optional<MonotonicTime> AnsweredParts::lastAnswered(PromptPartId part) const
{
    for (const auto* times : { &m_recent, &m_older }) {
        const auto found = times->find(part);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace almondscale
