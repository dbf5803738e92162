#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// Reads the lines of a streamed answer and compares them with what an engine makes.
class AnswerCheck {
public:
    AnswerCheck(std::string prompt, std::int64_t maxTokens);

    // Takes one line of the event stream.
    void onLine(const std::string&);
    // To be called when no more lines come.
    void onEnd();

    std::int64_t tokens() const { return m_tokens; }
    // Whether every token came once, in order, up to the end mark.
    bool complete() const { return m_done && !m_fault && !m_refusal; }
    // The error that the system told in mid-answer, if it did.
    const std::optional<std::string>& refusal() const { return m_refusal; }
    // What was wrong with the answer, if anything.
    const std::optional<std::string>& fault() const { return m_fault; }

private:
    void onData(const std::string&);
    void onToken(const std::string&);
    void fail(const std::string&);

    std::string m_prompt;
    std::int64_t m_maxTokens;
    std::int64_t m_tokens = 0;
    bool m_done = false;
    std::optional<std::string> m_refusal;
    std::optional<std::string> m_fault;
};

} // namespace almondscale
