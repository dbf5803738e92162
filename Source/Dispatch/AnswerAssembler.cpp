#include "Dispatch/AnswerAssembler.h"

#include <algorithm>

namespace almondscale {

namespace {

    // Released tokens that a new attempt must repeat, to verify that it gives the same answer.
    constexpr std::uint64_t overlapTokens = 8;

    // Tokens further ahead are dropped; they are received again when the stream is resumed.
    constexpr std::uint64_t maxTokensAhead = 1024;

} // namespace

std::uint64_t AnswerAssembler::begin(const AttemptId& attempt)
{
    m_attempt = attempt;
    m_ahead.clear();
    m_verified.clear();
    m_length.reset();
    m_overlapEnd = m_tokens.size();
    m_overlapBegin = resumeOffset();
    return m_overlapBegin;
}

std::uint64_t AnswerAssembler::resumeOffset() const
{
    return m_tokens.size() - std::min<std::uint64_t>(m_tokens.size(), overlapTokens);
}

AnswerProgress AnswerAssembler::accept(const StreamItem& item)
{
    if (m_state != AnswerState::Running || item.attempt != m_attempt)
        return { m_state, {} };
    if (item.done)
        acceptEnd(item);
    else
        acceptToken(item);
    if (m_state == AnswerState::Conflict)
        return { m_state, {} };
    auto tokens = release();
    if (m_length == m_tokens.size() && overlapVerified())
        m_state = AnswerState::Complete;
    return { m_state, std::move(tokens) };
}

void AnswerAssembler::acceptEnd(const StreamItem& item)
{
    const bool differs = m_length && *m_length != item.tokens;
    const bool beyond = !m_ahead.empty() && m_ahead.rbegin()->first >= item.tokens;
    if (differs || beyond || item.tokens < m_tokens.size()) {
        m_state = AnswerState::Conflict;
        return;
    }
    m_length = item.tokens;
}

void AnswerAssembler::acceptToken(const StreamItem& item)
{
    if (m_length && item.index >= *m_length) {
        m_state = AnswerState::Conflict;
        return;
    }
    if (item.index < m_tokens.size()) {
        if (m_tokens[item.index] != item.token)
            m_state = AnswerState::Conflict;
        else if (item.index >= m_overlapBegin && item.index < m_overlapEnd)
            m_verified[item.index] = true;
        return;
    }
    if (item.index - m_tokens.size() >= maxTokensAhead)
        return;
    const auto [place, added] = m_ahead.emplace(item.index, item.token);
    if (!added && place->second != item.token)
        m_state = AnswerState::Conflict;
}

// Releases nothing until the attempt has repeated the overlap; otherwise two different answers
// could be joined.
std::vector<std::string> AnswerAssembler::release()
{
    std::vector<std::string> released;
    if (!overlapVerified())
        return released;
    auto next = m_ahead.begin();
    while (next != m_ahead.end() && next->first == m_tokens.size()) {
        m_tokens.push_back(next->second);
        released.push_back(std::move(next->second));
        next = m_ahead.erase(next);
    }
    return released;
}

} // namespace almondscale
