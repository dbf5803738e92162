#include "BurnDuty.h"

#include "Report/ObjectiveLookup.h"

namespace almondscale {

namespace {

    constexpr auto pullInterval = std::chrono::seconds(5);

    WallTime wallNow()
    {
        return std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    }

    BurnHooks burnHooks(const RulesHolder& holder)
    {
        BurnHooks hooks;
        hooks.objective = [&holder](const ModelName& model, const Organisation& organisation) {
            const auto rules = holder.get();
            return rules ? findObjective(rules->objectives, model, organisation) : std::nullopt;
        };
        return hooks;
    }

    BurnOptions burnOptions(const HostId& own, Incarnation incarnation)
    {
        BurnOptions options;
        options.host = own;
        options.incarnation = incarnation;
        return options;
    }

} // namespace

BurnDuty::BurnDuty(const HostId& own, Incarnation incarnation, const RulesHolder& rules, BurnDutyHooks hooks)
    : m_hooks(std::move(hooks))
    , m_recorder(burnOptions(own, incarnation), burnHooks(rules))
    , m_duty(pullInterval, [this] { pullSummaries(); })
{
}

void BurnDuty::record(const RequestOutcome& outcome)
{
    const std::lock_guard lock(m_mutex);
    m_recorder.onFinished(outcome);
}

std::string BurnDuty::ownSummary()
{
    const std::lock_guard lock(m_mutex);
    return encodeBurnSummary(m_recorder.summary(wallNow()));
}

std::string BurnDuty::render(const std::string& format)
{
    const std::lock_guard lock(m_mutex);
    const WallTime now = wallNow();
    m_report.merge(m_recorder.summary(now));
    if (format == "svg")
        return m_report.renderSvg(now);
    return format == "table" ? m_report.renderTable(now) : m_report.renderJson(now);
}

void BurnDuty::pullSummaries()
{
    for (const HostId& peer : m_hooks.livePeers()) {
        const auto text = m_hooks.pullSummary(peer);
        const auto summary = text ? decodeBurnSummary(*text) : std::nullopt;
        if (!summary)
            continue;
        const std::lock_guard lock(m_mutex);
        m_report.merge(*summary);
    }
    const std::lock_guard lock(m_mutex);
    m_report.removeExpired(wallNow());
}

} // namespace almondscale
