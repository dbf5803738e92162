#include "PeerPush.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"

#include <thread>

namespace almondscale {

PeerPush::PeerPush(HostId own, PeerPushHooks hooks)
    : m_own(std::move(own))
    , m_hooks(std::move(hooks))
{
}

void PeerPush::push(const std::vector<PushedItem>& items) const
{
    if (items.empty())
        return;
    JsonBuilder json;
    json.text("host", m_own.text()).beginArray("items");
    for (const PushedItem& item : items)
        json.beginElement().text("key", item.key).text("value", item.value).endObject();
    const std::string text = json.endArray().finish();
    // Side by side, so that a host which does not answer holds up none of the others.
    std::vector<std::thread> calls;
    const auto peers = m_hooks.peers();
    calls.reserve(peers.size());
    for (const HostId& peer : peers)
        calls.emplace_back([this, peer, &text] { m_hooks.send(peer, text); });
    for (std::thread& call : calls)
        call.join();
}

std::optional<std::string> PeerPush::onPush(const std::string& text) const
{
    const auto json = parseJson(text);
    const JsonValue* items = json ? jsonMember(*json, "items") : nullptr;
    if (!items || !items->IsArray())
        return std::nullopt;
    const HostId from(jsonString(*json, "host"));
    for (const JsonValue& item : items->GetArray())
        m_hooks.take(from, { jsonString(item, "key"), jsonString(item, "value") });
    return JsonBuilder().finish();
}

} // namespace almondscale
