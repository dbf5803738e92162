#include "EngineExactState.h"

#include "Http/HttpClient.h"
#include "Http/Json.h"

namespace almondscale {

EngineExactState engineState(const Address& engine, Deadline deadline)
{
    HttpCall call;
    call.to = engine;
    call.path = "/state";
    call.deadline = deadline;
    const CallResult result = callOnce(call);
    EngineExactState state;
    state.refused = !result.ok() && result.failure == CallFailure::NotSent;
    const auto json = result.ok() ? parseJson(result.response->body) : std::nullopt;
    if (!json || result.response->status != 200)
        return state;
    state.reached = true;
    state.boot = static_cast<std::uint64_t>(jsonInteger(*json, "boot"));
    state.inFlight = static_cast<int>(jsonInteger(*json, "in_flight"));
    state.role = parseEngineRole(jsonString(*json, "role")).value_or(EngineRole::Mixed);
    state.order = OrderNumber(static_cast<std::uint64_t>(jsonInteger(*json, "order")));
    state.fencing = FencingNumber(static_cast<std::uint64_t>(jsonInteger(*json, "fencing")));
    state.closing = jsonFlag(*json, "closing");
    return state;
}

} // namespace almondscale
