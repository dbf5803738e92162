#include "CompletionCall.h"

#include "CallerOrganisation.h"
#include "Http/Json.h"

#include <charconv>

namespace almondscale {

namespace {

    constexpr std::int64_t defaultMaxTokens = 16;
    constexpr std::int64_t mostMaxTokens = 1 << 20;
    constexpr std::int64_t longestDeadlineMs = 3600000;
    constexpr std::size_t longestOrganisation = 128;

    // The number in a header: absent, readable and within bounds, or faulty.
    std::optional<std::int64_t> headerNumber(const HttpRequest& request, const char* name,
        std::int64_t fallback, std::int64_t lowest, std::int64_t highest)
    {
        const std::string text = request.header(name);
        if (text.empty())
            return fallback;
        std::int64_t number = 0;
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data(), end, number);
        if (result.ec != std::errc() || result.ptr != end || number < lowest || number > highest)
            return std::nullopt;
        return number;
    }

    // The text of all chat messages, or nothing if they are malformed.
    std::optional<std::string> chatPrompt(const JsonValue& body)
    {
        const JsonValue* messages = jsonMember(body, "messages");
        if (!messages || !messages->IsArray() || messages->Empty())
            return std::nullopt;
        std::string prompt;
        for (const JsonValue& message : messages->GetArray()) {
            const std::string content = jsonString(message, "content");
            if (content.empty())
                return std::nullopt;
            prompt.append(jsonString(message, "role", "user")).append(": ").append(content).append("\n");
        }
        return prompt;
    }

    std::optional<std::string> promptOf(const JsonValue& body, bool chat)
    {
        if (chat)
            return chatPrompt(body);
        const std::string prompt = jsonString(body, "prompt");
        if (prompt.empty())
            return std::nullopt;
        return prompt;
    }

} // namespace

Result<CompletionCall> parseCompletionCall(
    const HttpRequest& request, bool chat, MonotonicTime now, Nanoseconds defaultDeadline)
{
    const auto body = parseJson(request.body);
    if (!body || !body->IsObject())
        return ErrorKind::BadRequest;
    CompletionCall call;
    call.chat = chat;
    call.model = ModelName(jsonString(*body, "model"));
    call.maxTokens = TokenCount(jsonInteger(*body, "max_tokens", defaultMaxTokens));
    call.streamed = jsonFlag(*body, "stream");
    const auto prompt = promptOf(*body, chat);
    if (!prompt || call.model.empty())
        return ErrorKind::BadRequest;
    if (call.maxTokens < TokenCount(1) || call.maxTokens > TokenCount(mostMaxTokens))
        return ErrorKind::BadRequest;
    call.prompt = *prompt;
    call.promptTokens = countTokens(call.prompt);

    const auto priority = headerNumber(request, "x-priority", 0, -100, 100);
    const auto deadlineMs = headerNumber(request, "x-deadline-ms", 0, 1, longestDeadlineMs);
    call.organisation = callerOrganisation(request);
    if (!priority || !deadlineMs || call.organisation.text().size() > longestOrganisation)
        return ErrorKind::BadRequest;
    call.priority = Priority(static_cast<int>(*priority));
    const Nanoseconds delay = *deadlineMs > 0 ? std::chrono::milliseconds(*deadlineMs) : defaultDeadline;
    call.deadline = Deadline::after(now, delay);
    return call;
}

TokenCount countTokens(const std::string& text)
{
    std::int64_t count = 0;
    bool within = false;
    for (const char c : text) {
        const bool blank = c == ' ' || (c >= '\t' && c <= '\r');
        if (!blank && !within)
            ++count;
        within = !blank;
    }
    return TokenCount(count);
}

} // namespace almondscale
