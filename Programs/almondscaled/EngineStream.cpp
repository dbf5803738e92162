#include "EngineStream.h"

#include "Http/HttpClient.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    const char* phaseWord(EngineAttempt::Phase phase)
    {
        switch (phase) {
        case EngineAttempt::Phase::Prefill:
            return "prefill";
        case EngineAttempt::Phase::Decode:
            return "decode";
        case EngineAttempt::Phase::Full:
            break;
        }
        return "full";
    }

    std::string requestBody(const EngineAttempt& attempt)
    {
        JsonBuilder json;
        json.text("attempt", attempt.attempt.text())
            .text("model", attempt.model)
            .text("prompt", attempt.prompt)
            .integer("max_tokens", attempt.maxTokens.count())
            .integer("priority", attempt.priority)
            .integer("offset", attempt.offset)
            .text("phase", phaseWord(attempt.phase));
        if (!attempt.kv.empty())
            json.text("kv", attempt.kv);
        return json.finish();
    }

    EngineItem parseItem(const std::string& line)
    {
        EngineItem item;
        item.kind = EngineItem::Kind::Malformed;
        const auto json = parseJson(line);
        if (!json)
            return item;
        item.attempt = AttemptId(jsonString(*json, "attempt"));
        if (item.attempt.empty())
            return item;
        if (jsonFlag(*json, "done")) {
            item.kind = EngineItem::Kind::Done;
            item.total = jsonInteger(*json, "tokens");
            item.kvHandle = jsonString(*json, "kv");
            return item;
        }
        item.index = jsonInteger(*json, "index", -1);
        item.token = jsonString(*json, "token");
        if (item.index >= 0)
            item.kind = EngineItem::Kind::Token;
        return item;
    }

} // namespace

EngineAcceptance EngineStream::start(const Address& engine, const EngineAttempt& attempt, Deadline deadline)
{
    HttpCall call;
    call.to = engine;
    call.method = "POST";
    call.path = "/attempts";
    call.headers["content-type"] = "application/json";
    call.body = requestBody(attempt);
    call.deadline = deadline;
    return acceptance(m_stream.open(call));
}

EngineAcceptance EngineStream::resume(
    const Address& engine, const AttemptId& attempt, std::int64_t offset, Deadline deadline)
{
    HttpCall call;
    call.to = engine;
    call.path = "/attempts/" + attempt.text() + "?offset=" + std::to_string(offset);
    call.deadline = deadline;
    return acceptance(m_stream.open(call));
}

EngineAcceptance EngineStream::acceptance(const CallResult& result)
{
    if (!result.ok())
        return result.failure == CallFailure::NotSent ? EngineAcceptance::NotRun : EngineAcceptance::Unknown;
    switch (result.response->status) {
    case 200:
        return EngineAcceptance::Accepted;
    case 404:
        return EngineAcceptance::NotKnown;
    case 409:
    case 503:
        return EngineAcceptance::NotRun;
    default:
        return EngineAcceptance::Unknown;
    }
}

EngineItem EngineStream::next(Deadline deadline)
{
    std::string line;
    EngineItem item;
    switch (m_stream.readLine(line, deadline)) {
    case HttpStream::ReadResult::Line:
        return parseItem(line);
    case HttpStream::ReadResult::TimedOut:
        item.kind = EngineItem::Kind::Silent;
        return item;
    case HttpStream::ReadResult::EndOfStream:
        break;
    }
    item.kind = EngineItem::Kind::Lost;
    return item;
}

void cancelAttempt(const Address& engine, const AttemptId& attempt, Deadline deadline)
{
    HttpCall call;
    call.to = engine;
    call.method = "DELETE";
    call.path = "/attempts/" + attempt.text();
    call.deadline = deadline;
    callOnce(call);
}

} // namespace almondscale
