#include "Load/AnswerCheck.h"

#include "Http/Json.h"
#include "Load/RefusalBody.h"
#include "StandIns/AnswerToken.h"

#include <utility>

namespace almondscale {

namespace {

    const std::string dataField = "data: ";
    const std::string endMark = "[DONE]";

} // namespace

AnswerCheck::AnswerCheck(std::string prompt, std::int64_t maxTokens)
    : m_prompt(std::move(prompt))
    , m_maxTokens(maxTokens)
{
}

void AnswerCheck::onLine(const std::string& line)
{
    std::string text = line;
    if (!text.empty() && text.back() == '\r')
        text.pop_back();
    if (text.empty())
        return;
    if (text.compare(0, dataField.size(), dataField) != 0) {
        fail("unexpected line '" + text + "'");
        return;
    }
    onData(text.substr(dataField.size()));
}

void AnswerCheck::onData(const std::string& data)
{
    if (m_done || m_refusal) {
        fail("data after the end");
        return;
    }
    if (data == endMark) {
        m_done = true;
        if (m_tokens != m_maxTokens)
            fail(
                "ended after " + std::to_string(m_tokens) + " of " + std::to_string(m_maxTokens) + " tokens");
        return;
    }
    if (const auto refusal = refusalFromBody(data)) {
        m_refusal = refusal->kind;
        return;
    }
    const std::optional<JsonDocument> json = parseJson(data);
    const JsonValue* choices = json ? jsonMember(*json, "choices") : nullptr;
    if (choices == nullptr || !choices->IsArray() || choices->Empty()) {
        fail("event without choices");
        return;
    }
    onToken(jsonString((*choices)[0], "text"));
}

void AnswerCheck::onToken(const std::string& text)
{
    // The event that tells why the answer ended has no text.
    if (text.empty())
        return;
    const std::string expected = " " + standin::answerToken(m_prompt, static_cast<std::uint64_t>(m_tokens));
    if (text != expected)
        fail("token " + std::to_string(m_tokens) + " is '" + text + "', not '" + expected + "'");
    ++m_tokens;
}

void AnswerCheck::onEnd()
{
    if (!m_done && !m_refusal)
        fail("cut after " + std::to_string(m_tokens) + " of " + std::to_string(m_maxTokens) + " tokens");
}

void AnswerCheck::fail(const std::string& why)
{
    // The first fault is the one that explains the others.
    if (!m_fault)
        m_fault = why;
}

} // namespace almondscale
