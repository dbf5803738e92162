#include "Quarantine.h"

#include "Http/HttpClient.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    constexpr const char* path = "/peer/quarantine";
    constexpr const char* askAction = "ask";
    constexpr const char* finishAction = "finish";
    constexpr auto callTimeout = std::chrono::milliseconds(500);

} // namespace

Quarantine::Quarantine(
    QuarantineKeeper& keeper, HostId own, std::string peersKey, Clock clock, QuarantineHooks hooks)
    : m_keeper(keeper)
    , m_own(std::move(own))
    , m_peersKey(std::move(peersKey))
    , m_clock(std::move(clock))
    , m_hooks(std::move(hooks))
{
}

std::optional<EngineId> Quarantine::ask(const QuarantineTicket& ticket)
{
    if (m_hooks.keeper() == m_own)
        return m_keeper.ask(ticket);
    const auto answer = send(ticket, askAction);
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
        send(ticket, finishAction);
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

std::optional<std::string> Quarantine::send(const QuarantineTicket& ticket, const char* action) const
{
    const auto address = m_hooks.address(m_hooks.keeper());
    if (!address)
        return std::nullopt;
    HttpCall call;
    call.to = *address;
    call.method = "POST";
    call.path = path;
    call.headers["x-peer-key"] = m_peersKey;
    call.body = encodeTicket(ticket, action, m_clock());
    call.deadline = Deadline::after(m_clock(), callTimeout);
    const CallResult result = callOnce(call);
    if (!result.ok() || result.response->status != 200)
        return std::nullopt;
    return result.response->body;
}

} // namespace almondscale
