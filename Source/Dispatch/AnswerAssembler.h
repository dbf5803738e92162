#pragma once

#include "Dispatch/AnswerProgress.h"
#include "Dispatch/StreamItem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// Makes one answer out of the streams of a request's attempts: every token once
// and in order, whatever comes late, twice, crossed or not at all.
class AnswerAssembler {
public:
    // Makes this the current attempt; what earlier ones still send is dropped.
    // Returns the offset from which to ask for its stream.
    std::uint64_t begin(const AttemptId&);
    // The offset from which to ask for the stream of the current attempt again.
    std::uint64_t resumeOffset() const;

    AnswerProgress accept(const StreamItem&);

    AnswerState state() const { return m_state; }
    // The number of tokens that were given out.
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
    // Tokens of the current attempt that cannot be given out yet.
    std::map<std::uint64_t, std::string> m_ahead;
    // What the current attempt must first repeat of the answer so far.
    std::uint64_t m_overlapBegin = 0;
    std::uint64_t m_overlapEnd = 0;
    std::map<std::uint64_t, bool> m_verified;
    std::optional<std::uint64_t> m_length;
};

} // namespace almondscale
