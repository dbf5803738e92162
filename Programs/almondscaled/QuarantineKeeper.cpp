#include "QuarantineKeeper.h"

#include "EngineIdList.h"
#include "Http/Json.h"
#include "Http/JsonBuilder.h"

namespace almondscale {

QuarantineKeeper::QuarantineKeeper(
    EngineDirectory& engines, CrashGuard& guard, DataCentre own, Clock clock, Publish publish)
    : m_engines(engines)
    , m_guard(guard)
    , m_own(std::move(own))
    , m_clock(std::move(clock))
    , m_publish(std::move(publish))
{
}

std::optional<EngineId> QuarantineKeeper::ask(const QuarantineTicket& ticket)
{
    const std::lock_guard lock(m_mutex);
    Lane& lane = m_lanes[ticket.model];
    const Holder holder { ticket.entry.host, ticket.entry.request };
    if (lane.known.insert(holder).second)
        lane.lane.enqueue(ticket.entry);
    grantAll(lane);
    const auto granted = lane.granted.find(holder);
    if (granted == lane.granted.end())
        return std::nullopt;
    return granted->second;
}

void QuarantineKeeper::finish(const QuarantineTicket& ticket)
{
    const std::lock_guard lock(m_mutex);
    Lane& lane = m_lanes[ticket.model];
    const Holder holder { ticket.entry.host, ticket.entry.request };
    lane.lane.finish(holder.first, holder.second);
    lane.lane.remove(holder.first, holder.second);
    lane.granted.erase(holder);
    lane.known.erase(holder);
    grantAll(lane);
}

void QuarantineKeeper::tick()
{
    const bool anySuspect = m_guard.anySuspect();
    std::map<std::string, std::string> changed;
    {
        const std::lock_guard lock(m_mutex);
        for (const EngineRecord& engine : m_engines.engines())
            m_lanes[engine.view.model];
        for (auto& [model, lane] : m_lanes) {
            lane.lane.reserveEngines(openEngines(model), anySuspect, m_clock());
            const std::string kept = writeEngineIds(lane.lane.reservedEngines());
            if (kept != lane.published)
                changed[itemPrefix + model.text()] = kept;
            lane.published = kept;
            grantAll(lane);
        }
    }
    // Not under the lock, as sharing may call back into this object.
    for (const auto& [key, value] : changed)
        m_publish(key, value);
}

void QuarantineKeeper::grantAll(Lane& lane)
{
    const auto verdict = [this](Fingerprint fingerprint) { return m_guard.verdict(fingerprint); };
    while (const auto grant = lane.lane.grant(m_clock(), verdict))
        lane.granted[{ grant->entry.host, grant->entry.request }] = grant->engine;
}

std::vector<EngineId> QuarantineKeeper::openEngines(const ModelName& model) const
{
    std::vector<EngineId> open;
    for (const EngineRecord& engine : m_engines.engines()) {
        const bool usable = engine.reachable && !engine.closing && !engine.leaving;
        if (usable && engine.view.model == model && engine.view.dataCentre == m_own)
            open.push_back(engine.view.id);
    }
    return open;
}

std::string encodeTicket(const QuarantineTicket& ticket, const char* action, MonotonicTime now)
{
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.entry.deadline.remaining(now));
    return JsonBuilder()
        .text("action", action)
        .text("model", ticket.model.text())
        .text("host", ticket.entry.host.text())
        .text("request", ticket.entry.request.text())
        .text("fingerprint", std::to_string(ticket.entry.fingerprint.count()))
        .integer("deadline_ms", left.count())
        .finish();
}

std::optional<QuarantineTicket> decodeTicket(const std::string& text, MonotonicTime now)
{
    const auto json = parseJson(text);
    if (!json)
        return std::nullopt;
    QuarantineTicket ticket;
    ticket.model = ModelName(jsonString(*json, "model"));
    ticket.entry.host = HostId(jsonString(*json, "host"));
    ticket.entry.request = RequestId(jsonString(*json, "request"));
    ticket.entry.fingerprint
        = Fingerprint(std::strtoull(jsonString(*json, "fingerprint").c_str(), nullptr, 10));
    ticket.entry.deadline
        = Deadline::after(now, std::chrono::milliseconds(jsonInteger(*json, "deadline_ms")));
    if (ticket.model.empty() || ticket.entry.host.empty() || ticket.entry.request.empty())
        return std::nullopt;
    return ticket;
}

} // namespace almondscale
