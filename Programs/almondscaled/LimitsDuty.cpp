#include "LimitsDuty.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"

#include <map>

namespace almondscale {

namespace {

    constexpr auto exchangeInterval = std::chrono::milliseconds(500);

    std::optional<double> limitOf(const RulesHolder& holder, const Organisation& organisation)
    {
        const auto rules = holder.get();
        std::optional<double> limit;
        for (const LimitRule& rule : rules ? rules->limits : std::vector<LimitRule> {}) {
            if (rule.organisation == organisation)
                return rule.requestsPerSecond;
            if (rule.organisation == Organisation("*"))
                limit = rule.requestsPerSecond;
        }
        return limit;
    }

} // namespace

LimitsDuty::LimitsDuty(const HostId& own, const RulesHolder& rules, Clock clock, LimitsHooks hooks)
    : m_clock(std::move(clock))
    , m_hooks(std::move(hooks))
    , m_share(own, [&rules](const Organisation& organisation) { return limitOf(rules, organisation); })
    , m_duty(exchangeInterval, [this] { exchange(); })
{
}

std::optional<MonotonicTime> LimitsDuty::admit(const Organisation& organisation)
{
    const std::lock_guard lock(m_mutex);
    return m_share.admit(organisation, m_clock());
}

bool LimitsDuty::onMessages(const std::string& text)
{
    const auto messages = decodeLimitMessages(text);
    if (!messages)
        return false;
    const std::lock_guard lock(m_mutex);
    for (const LimitMessage& message : *messages)
        m_share.onMessage(message, m_clock());
    return true;
}

std::size_t LimitsDuty::exchanged() const
{
    const std::lock_guard lock(m_mutex);
    return m_share.exchanged();
}

void LimitsDuty::exchange()
{
    const auto peers = m_hooks.peers();
    std::map<HostId, std::vector<LimitMessage>> byHost;
    {
        const std::lock_guard lock(m_mutex);
        m_share.setPeers(peers);
        for (const LimitMessage& message : m_share.tick(m_clock()))
            byHost[message.to].push_back(message);
    }
    for (const auto& [host, messages] : byHost)
        m_hooks.send(host, encodeLimitMessages(messages));
}

std::string encodeLimitMessages(const std::vector<LimitMessage>& messages)
{
    JsonBuilder json;
    json.beginArray("messages");
    for (const LimitMessage& message : messages) {
        json.beginElement()
            .integer("kind", static_cast<int>(message.kind))
            .text("from", message.from.text())
            .text("to", message.to.text())
            .text("organisation", message.organisation.text())
            .number("demand", message.demand)
            .number("share", message.share)
            .integer("sequence", static_cast<std::int64_t>(message.sequence))
            .endObject();
    }
    return json.endArray().finish();
}

std::optional<std::vector<LimitMessage>> decodeLimitMessages(const std::string& text)
{
    const auto json = parseJson(text);
    const JsonValue* list = json ? jsonMember(*json, "messages") : nullptr;
    if (!list || !list->IsArray())
        return std::nullopt;
    std::vector<LimitMessage> messages;
    for (const JsonValue& item : list->GetArray()) {
        const std::int64_t kind = jsonInteger(item, "kind", -1);
        if (kind < 0 || kind > static_cast<int>(LimitMessage::Kind::Release))
            return std::nullopt;
        LimitMessage message;
        message.kind = static_cast<LimitMessage::Kind>(kind);
        message.from = HostId(jsonString(item, "from"));
        message.to = HostId(jsonString(item, "to"));
        message.organisation = Organisation(jsonString(item, "organisation"));
        message.demand = jsonNumber(item, "demand");
        message.share = jsonNumber(item, "share");
        message.sequence = static_cast<std::uint64_t>(jsonInteger(item, "sequence"));
        messages.push_back(message);
    }
    return messages;
}

} // namespace almondscale
