#include "StandIns/EngineJson.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale::standin {

namespace {

    std::optional<AttemptPhase> phaseFromWord(const std::string& word)
    {
        if (word.empty() || word == "full")
            return AttemptPhase::Full;
        if (word == "prefill")
            return AttemptPhase::Prefill;
        if (word == "decode")
            return AttemptPhase::Decode;
        return std::nullopt;
    }

    std::int64_t signedCount(std::uint64_t count) { return static_cast<std::int64_t>(count); }

} // namespace

std::optional<AttemptRequest> attemptFromJson(const std::string& text)
{
    const std::optional<JsonDocument> json = parseJson(text);
    if (!json)
        return std::nullopt;
    const std::optional<AttemptPhase> phase = phaseFromWord(jsonString(*json, "phase"));
    AttemptRequest request;
    request.attempt = AttemptId(jsonString(*json, "attempt"));
    request.model = ModelName(jsonString(*json, "model"));
    request.prompt = jsonString(*json, "prompt");
    request.maxTokens = TokenCount(jsonInteger(*json, "max_tokens"));
    request.priority = Priority(static_cast<int>(jsonInteger(*json, "priority")));
    request.offset = TokenCount(jsonInteger(*json, "offset"));
    request.kv = jsonString(*json, "kv");
    if (!phase || request.attempt.empty() || request.maxTokens.count() < 0 || request.offset.count() < 0)
        return std::nullopt;
    request.phase = *phase;
    return request;
}

std::optional<EngineOrder> orderFromJson(const std::string& text)
{
    const std::optional<JsonDocument> json = parseJson(text);
    if (!json || jsonMember(*json, "order") == nullptr)
        return std::nullopt;
    EngineOrder order;
    order.order = OrderNumber(static_cast<std::uint64_t>(jsonInteger(*json, "order")));
    order.fencing = FencingToken(static_cast<std::uint64_t>(jsonInteger(*json, "fencing")));
    order.kind = jsonString(*json, "kind");
    order.value = jsonString(*json, "value");
    return order;
}

std::string loadJson(const LoadReport& load, MonotonicTime now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.sampledAt);
    JsonBuilder json;
    json.integer("boot", signedCount(load.boot));
    json.text("role", engineRoleName(load.role));
    json.text("model", load.model.text());
    json.integer("age_ms", age.count());
    json.integer("running", load.running);
    json.integer("queued", load.queued);
    json.integer("prefill_tokens", load.prefillTokens.count());
    json.integer("decode_tokens", load.decodeTokens.count());
    json.integer("free_blocks", load.freeBlocks.count());
    json.integer("total_blocks", load.totalBlocks.count());
    json.integer("sequence", signedCount(load.sequence));
    return json.finish();
}

std::string stateJson(const EngineState& state)
{
    JsonBuilder json;
    json.integer("boot", signedCount(state.boot));
    json.text("role", engineRoleName(state.role));
    json.text("model", state.model.text());
    json.text("adapter", state.adapter);
    json.text("version", state.version);
    json.integer("order", signedCount(state.order.count()));
    json.integer("fencing", signedCount(state.fencing.count()));
    json.integer("in_flight", state.inFlight);
    json.flag("closing", state.closing);
    return json.finish();
}

std::string cacheEventsJson(const std::vector<CacheEvent>& events, std::uint64_t since)
{
    JsonBuilder json;
    json.beginArray("events");
    std::uint64_t next = since;
    for (const CacheEvent& event : events) {
        json.beginElement();
        json.integer("sequence", signedCount(event.sequence));
        json.text("kind", event.stored ? "stored" : "evicted");
        json.text("prefix", event.prefix);
        json.endObject();
        next = event.sequence;
    }
    json.endArray();
    json.integer("next", signedCount(next));
    return json.finish();
}

std::string statsJson(const EngineStats& stats)
{
    JsonBuilder json;
    json.beginObject("attempts");
    for (const auto& [id, counts] : stats.attempts) {
        json.beginObject(id.text().c_str());
        json.integer("runs", counts.runs);
        json.integer("tokens", counts.tokens);
        json.endObject();
    }
    json.endObject();
    json.beginArray("orders");
    for (const OrderRecord& record : stats.orders) {
        json.beginElement();
        json.integer("order", signedCount(record.order.order.count()));
        json.integer("fencing", signedCount(record.order.fencing.count()));
        json.text("kind", record.order.kind);
        json.text("value", record.order.value);
        json.text("outcome", orderOutcomeWord(record.outcome));
        json.integer("boot", signedCount(record.boot));
        json.endObject();
    }
    json.endArray();
    json.integer("crashes", stats.crashes);
    return json.finish();
}

std::string kvBytes(const KvCache& cache)
{
    JsonBuilder json;
    json.text("prompt_hash", std::to_string(cache.promptHash));
    json.integer("tokens", cache.tokens.count());
    const auto size = static_cast<std::size_t>(cache.tokens.count() * kvBytesPerToken);
    return json.finish() + "\n" + std::string(size, 'k');
}

std::optional<KvCache> kvFromBytes(const std::string& bytes)
{
    const std::size_t lineEnd = bytes.find('\n');
    if (lineEnd == std::string::npos)
        return std::nullopt;
    const std::optional<JsonDocument> json = parseJson(bytes.substr(0, lineEnd));
    if (!json)
        return std::nullopt;
    KvCache cache;
    cache.tokens = TokenCount(jsonInteger(*json, "tokens", -1));
    // A cache that was cut off on its way is of no use.
    if (static_cast<std::int64_t>(bytes.size() - lineEnd - 1) != cache.tokens.count() * kvBytesPerToken)
        return std::nullopt;
    const std::string hash = jsonString(*json, "prompt_hash");
    if (hash.empty() || hash.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    cache.promptHash = std::stoull(hash);
    return cache;
}

} // namespace almondscale::standin
