#include "Quarantine.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    constexpr const char* askAction = "ask";
    constexpr const char* finishAction = "finish";

} // namespace

Quarantine::Quarantine(QuarantineKeeper& keeper, HostId own, Clock clock, QuarantineHooks hooks)
    : m_keeper(keeper)
    , m_own(std::move(own))
    , m_clock(std::move(clock))
    , m_hooks(std::move(hooks))
{
}

std::optional<EngineId> Quarantine::ask(const QuarantineTicket& ticket)
{
    if (m_hooks.keeper() == m_own)
        return m_keeper.ask(ticket);
    const auto answer = m_hooks.send(m_hooks.keeper(), encodeTicket(ticket, askAction, m_clock()));
    const auto json = answer ? parseJson(*answer) : std::nullopt;
    const std::string engine = json ? jsonString(*json, "engine") : std::string();
    if (engine.empty())
        return std::nullopt;
    return EngineId(engine);
}

void Quarantine::finish(const QuarantineTicket& ticket)
{
    if (m_hooks.keeper() == m_own)
        m_keeper.finish(ticket);
    else
        m_hooks.send(m_hooks.keeper(), encodeTicket(ticket, finishAction, m_clock()));
}

std::optional<std::string> Quarantine::answerPeer(const std::string& body)
{
    const auto ticket = decodeTicket(body, m_clock());
    const auto json = parseJson(body);
    if (!ticket || !json)
        return std::nullopt;
    if (jsonString(*json, "action") == finishAction) {
        m_keeper.finish(*ticket);
        return JsonBuilder().finish();
    }
    const auto engine = m_keeper.ask(*ticket);
    return JsonBuilder().text("engine", engine ? engine->text() : std::string()).finish();
}

void Quarantine::tick()
{
    if (m_hooks.keeper() == m_own)
        m_keeper.tick();
}

} // namespace almondscale
