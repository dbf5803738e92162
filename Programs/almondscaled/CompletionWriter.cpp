#include "CompletionWriter.h"

#include "Http/ErrorResponse.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    std::string eventLine(const std::string& data) { return "data: " + data + "\n\n"; }

    HttpResponse eventStream()
    {
        HttpResponse response;
        response.contentType = "text/event-stream";
        response.headers["cache-control"] = "no-cache";
        return response;
    }

} // namespace

CompletionWriter::CompletionWriter(const CompletionCall& call, std::string id, ReplyWriter& reply)
    : m_call(call)
    , m_id(std::move(id))
    , m_reply(reply)
{
}

bool CompletionWriter::token(const std::string& token)
{
    const std::string text = " " + token;
    m_tokens += TokenCount(1);
    if (!m_call.streamed) {
        m_text += text;
        return !m_reply.clientDisconnected();
    }
    if (!m_begun) {
        m_begun = true;
        HttpResponse response = eventStream();
        response.body = eventLine(event(text, nullptr));
        return m_reply.beginStream(response);
    }
    return m_reply.write(eventLine(event(text, nullptr)));
}

void CompletionWriter::finish()
{
    if (!m_call.streamed) {
        HttpResponse response;
        response.body = whole();
        m_reply.send(response);
        return;
    }
    if (!m_begun)
        m_reply.beginStream(eventStream());
    m_reply.write(eventLine(event("", "stop")) + eventLine("[DONE]"));
}

void CompletionWriter::fail(ErrorKind kind, const std::string& detail, Nanoseconds retryAfter)
{
    const HttpResponse response = errorResponse(kind, detail, retryAfter);
    if (m_begun)
        m_reply.write(eventLine(response.body));
    else
        m_reply.send(response);
}

std::string CompletionWriter::event(const std::string& text, const char* finishReason) const
{
    JsonBuilder json;
    json.text("id", m_id).text("object", m_call.chat ? "chat.completion.chunk" : "text_completion");
    json.text("model", m_call.model.text());
    json.beginArray("choices").beginElement().integer("index", 0);
    if (m_call.chat)
        json.beginObject("delta").text("content", text).endObject();
    else
        json.text("text", text);
    if (finishReason)
        json.text("finish_reason", finishReason);
    json.endObject().endArray();
    return json.finish();
}

std::string CompletionWriter::whole() const
{
    JsonBuilder json;
    json.text("id", m_id).text("object", m_call.chat ? "chat.completion" : "text_completion");
    json.text("model", m_call.model.text());
    json.beginArray("choices").beginElement().integer("index", 0);
    if (m_call.chat)
        json.beginObject("message").text("role", "assistant").text("content", m_text).endObject();
    else
        json.text("text", m_text);
    json.text("finish_reason", "stop").endObject().endArray();
    json.beginObject("usage")
        .integer("prompt_tokens", m_call.promptTokens.count())
        .integer("completion_tokens", m_tokens.count())
        .endObject();
    return json.finish();
}

} // namespace almondscale
