#include "Load/RefusalBody.h"

#include "Http/Json.h"

namespace almondscale {

std::optional<RefusalBody> refusalFromBody(const std::string& body)
{
    const std::optional<JsonDocument> json = parseJson(body);
    const JsonValue* error = json ? jsonMember(*json, "error") : nullptr;
    if (error == nullptr || !error->IsObject())
        return std::nullopt;
    RefusalBody refusal { jsonString(*error, "kind"), jsonString(*error, "run") };
    if (refusal.kind.empty() || (refusal.run != "no" && refusal.run != "unknown"))
        return std::nullopt;
    return refusal;
}

} // namespace almondscale
