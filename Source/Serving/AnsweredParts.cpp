#include "Serving/AnsweredParts.h"

#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t maxRecentParts = 8192;

} // namespace

void AnsweredParts::note(PromptPartId part, MonotonicTime now)
{
    if (m_repeatedly.has(part) || m_once.has(part)) {
        m_once.erase(part);
        m_repeatedly.set(part, now);
    } else {
        m_once.set(part, now);
    }
}

std::optional<MonotonicTime> AnsweredParts::lastAnswered(PromptPartId part) const
{
    const auto found = m_repeatedly.find(part);
    return found ? found : m_once.find(part);
}

bool AnsweredParts::Times::has(PromptPartId part) const
{
    return m_recent.count(part) > 0 || m_older.count(part) > 0;
}

void AnsweredParts::Times::set(PromptPartId part, MonotonicTime time)
{
    if (m_recent.size() >= maxRecentParts && m_recent.count(part) == 0)
        m_older = std::exchange(m_recent, {});
    m_recent[part] = time;
}

void AnsweredParts::Times::erase(PromptPartId part)
{
    m_recent.erase(part);
    m_older.erase(part);
}

std::optional<MonotonicTime> AnsweredParts::Times::find(PromptPartId part) const
{
    for (const auto* times : { &m_recent, &m_older }) {
        const auto found = times->find(part);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace almondscale
