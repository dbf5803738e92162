#pragma once

#include "Dispatch/AnswerProgress.h"
#include "Dispatch/StreamItem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// Merges the token streams of a request's attempts into one answer. Each token is released
// once and in order, even if items are delayed, duplicated, reordered or lost.
class AnswerAssembler {
public:
    // Starts a new current attempt; items of earlier attempts are ignored from now on.
    // Returns the token offset from which to request its stream.
    std::uint64_t begin(const AttemptId&);
    // The token offset from which to request the current attempt's stream again.
    std::uint64_t resumeOffset() const;

    AnswerProgress accept(const StreamItem&);

    AnswerState state() const { return m_state; }
    // Number of tokens released.
    std::uint64_t delivered() const { return m_tokens.size(); }
    const AttemptId& attempt() const { return m_attempt; }

private:
    void acceptEnd(const StreamItem&);
    void acceptToken(const StreamItem&);
    bool overlapVerified() const { return m_verified.size() >= m_overlapEnd - m_overlapBegin; }
    std::vector<std::string> release();

    AttemptId m_attempt;
    AnswerState m_state = AnswerState::Running;
    std::vector<std::string> m_tokens;
    // Tokens of the current attempt that are received but not yet released.
    std::map<std::uint64_t, std::string> m_ahead;
    // Range of released tokens that the current attempt must repeat first.
    std::uint64_t m_overlapBegin = 0;
    std::uint64_t m_overlapEnd = 0;
    std::map<std::uint64_t, bool> m_verified;
    std::optional<std::uint64_t> m_length;
};

} // namespace almondscale
