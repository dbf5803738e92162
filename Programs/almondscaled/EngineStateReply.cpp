#include "EngineStateReply.h"

#include "Http/HttpClient.h"
#include "Http/Json.h"

namespace almondscale {

EngineStateReply askEngineState(const Address& engine, Deadline deadline)
{
    HttpCall call;
    call.to = engine;
    call.path = "/state";
    call.deadline = deadline;
    const CallResult result = callOnce(call);
    EngineStateReply reply;
    reply.refused = !result.ok() && result.failure == CallFailure::NotSent;
    const auto json = result.ok() ? parseJson(result.response->body) : std::nullopt;
    if (!json || result.response->status != 200)
        return reply;
    EngineState state;
    state.boot = static_cast<std::uint64_t>(jsonInteger(*json, "boot"));
    state.role = jsonString(*json, "role");
    state.model = jsonString(*json, "model");
    state.adapter = jsonString(*json, "adapter");
    state.version = jsonString(*json, "version");
    state.order = OrderNumber(static_cast<std::uint64_t>(jsonInteger(*json, "order")));
    state.fencing = FencingToken(static_cast<std::uint64_t>(jsonInteger(*json, "fencing")));
    state.inFlight = static_cast<int>(jsonInteger(*json, "in_flight"));
    reply.state = std::move(state);
    return reply;
}

} // namespace almondscale
