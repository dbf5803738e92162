#include "ControlExperiment.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <string>
#include <utility>

namespace almondscale {

namespace {

    constexpr double secondsPerDay = 86400;
    constexpr auto stepLength = std::chrono::milliseconds(20);
    constexpr auto warmUp = std::chrono::seconds(20);
    // The platform brings a host back after so long.
    constexpr auto replacementDelay = std::chrono::seconds(5);
    constexpr auto failureDelay = std::chrono::seconds(30);
    constexpr auto demandInterval = std::chrono::seconds(10);
    constexpr std::size_t demandBytes = 200;
    // The time from a graceful end's announcement to the end of the process.
    constexpr auto leaveTime = std::chrono::milliseconds(600);
    // Reports of one suspicion at several hosts count once.
    constexpr auto sameSuspicion = std::chrono::seconds(5);

    double seconds(Nanoseconds length) { return std::chrono::duration<double>(length).count(); }

    double threadCpuSeconds()
    {
        timespec now {};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        constexpr double nanosecondsPerSecond = 1e9;
        return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / nanosecondsPerSecond;
    }

    double heapBytes()
    {
        const auto info = ::mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    LinkBehaviour linkFor(const ControlOptions& options)
    {
        LinkBehaviour link;
        link.loss = options.loss;
        link.sign = true;
        return link;
    }

    std::vector<Nanoseconds> repeatsFor(PingRepeats repeats, const MembershipSettings& settings)
    {
        switch (repeats) {
        case PingRepeats::None:
            return {};
        case PingRepeats::Plain:
            return { std::chrono::milliseconds(200) };
        case PingRepeats::Growing:
            break;
        }
        return settings.pingRetryDelays;
    }

    Address addressOf(std::uint64_t number)
    {
        constexpr std::uint64_t hostsPerNet = 250;
        constexpr std::uint16_t port = 7000;
        return { "10.1." + std::to_string(number / hostsPerNet) + "." + std::to_string(number % hostsPerNet),
            port };
    }

} // namespace

ControlExperiment::ControlExperiment(const ControlOptions& options)
    : m_options(options)
    , m_random(seededRandom(options.seed))
    , m_fixture(m_random(), linkFor(options))
{
    m_fixture.tune([this](MembershipSettings& settings) {
        settings.pingRetryDelays = repeatsFor(m_options.repeats, settings);
    });
    m_fixture.onReported([this](const ControlHost& at, const Member& member) { onReported(at, member); });
    m_demandAt = m_fixture.now();
}

ControlFigures ControlExperiment::run()
{
    const auto heapBefore = heapBytes();
    m_fixture.applyRules(rulesOf(RulesVersion(++m_rules)));
    startAll();
    m_fixture.run(warmUp);
    m_figures.hosts = m_options.hosts;
    m_figures.memoryBytesPerHost = (heapBytes() - heapBefore) / m_options.hosts;
    measure();
    collect();
    return m_figures;
}

void ControlExperiment::startAll()
{
    for (int i = 0; i < m_options.hosts; ++i) {
        const auto number = m_names++;
        const DataCentre dataCentre("dc" + std::to_string(i % m_options.dataCentres));
        m_listed.push_back({ HostId("host-" + std::to_string(number)), addressOf(number), dataCentre });
    }
    m_fixture.seeds(m_listed);
    for (const auto& host : m_listed)
        m_fixture.start(host.host, host.address, host.dataCentre);
}

void ControlExperiment::measure()
{
    for (auto* host : m_fixture.hosts()) {
        host->bytesIn = 0;
        host->bytesOut = 0;
        host->rulesBytes = 0;
    }
    m_measuring = true;
    m_readsBefore = m_fixture.platformReads();
    m_measuredFrom = m_fixture.now();
    const auto cpuBefore = threadCpuSeconds();
    const auto end = m_measuredFrom + std::chrono::seconds(m_options.seconds);
    while (m_fixture.now() < end)
        step(seconds(stepLength));
    const auto cpu = threadCpuSeconds() - cpuBefore;
    m_figures.cpuFractionPerHost = cpu / m_options.hosts / m_options.seconds;
}

void ControlExperiment::step(double length)
{
    if (due(m_options.changesPerDay, length))
        applyChange();
    if (due(m_options.failuresPerDay, length))
        fail();
    if (due(m_options.replacementsPerDay, length))
        replace();
    startPending();
    publishDemand();
    m_fixture.run(stepLength);
    finishChanges();
}

bool ControlExperiment::due(double perDay, double length)
{
    const double expected = perDay * m_options.speedup / secondsPerDay * length;
    return uniform(m_random) < 1 - std::exp(-expected);
}

ControlHost& ControlExperiment::anyHost()
{
    const auto hosts = m_fixture.hosts();
    return *hosts[uniformBelow(m_random, hosts.size())];
}

// Limits of organisations, as many as fill the text.
RulesChange ControlExperiment::rulesOf(RulesVersion version) const
{
    RulesChange change;
    change.version = version;
    change.change = WriterId("change-" + std::to_string(version.count()));
    change.text = "limit * requests-per-second=" + std::to_string(version.count()) + " # dispatch\n";
    for (int i = 0; change.text.size() < static_cast<std::size_t>(m_options.rulesBytes); ++i)
        change.text += "limit organisation-" + std::to_string(i) + " requests-per-second=5 # dispatch\n";
    return change;
}

void ControlExperiment::applyChange()
{
    Change change;
    change.version = RulesVersion(++m_rules);
    change.appliedAt = m_fixture.now();
    for (const auto* running : m_fixture.hosts())
        change.waiting.insert(running->incarnation);
    m_fixture.applyRules(rulesOf(change.version));
    m_changes.push_back(change);
    ++m_figures.changes;
}

void ControlExperiment::finishChanges()
{
    if (m_changes.empty())
        return;
    std::map<Incarnation, RulesVersion> running;
    for (const auto* host : m_fixture.hosts())
        running[host->incarnation] = host->rules;
    for (auto change = m_changes.begin(); change != m_changes.end();) {
        auto& waiting = change->waiting;
        for (auto at = waiting.begin(); at != waiting.end();) {
            const auto host = running.find(*at);
            const bool done = host == running.end() || change->version <= host->second;
            at = done ? waiting.erase(at) : std::next(at);
        }
        const auto took = seconds(m_fixture.now() - change->appliedAt);
        m_figures.rulesInForceP100 = std::max(m_figures.rulesInForceP100, took);
        change = waiting.empty() ? m_changes.erase(change) : std::next(change);
    }
}

void ControlExperiment::kill(ControlHost& host)
{
    Ended ended;
    ended.endedAt = m_fixture.now();
    for (const auto* observer : m_fixture.hosts()) {
        if (observer->incarnation != host.incarnation)
            ended.observers.insert(observer->incarnation);
    }
    m_ended[host.incarnation] = ended;
    m_endedBytes += static_cast<double>(host.bytesIn + host.bytesOut);
    m_endedRulesBytes += static_cast<double>(host.rulesBytes);
    m_fixture.kill(HostId(host.host));
}

void ControlExperiment::fail()
{
    auto& host = anyHost();
    const auto number = m_names++;
    m_starting.emplace(m_fixture.now() + failureDelay,
        SeedHost { HostId("host-" + std::to_string(number)), addressOf(number), host.dataCentre });
    kill(host);
    ++m_figures.failures;
}

// Half of the replacements come back under the same name, half as another host on the same address.
void ControlExperiment::replace()
{
    auto& host = anyHost();
    const bool sameName = m_random() % 2 == 0;
    const auto name = sameName ? host.host : HostId("host-" + std::to_string(m_names++));
    m_starting.emplace(
        m_fixture.now() + leaveTime + replacementDelay, SeedHost { name, host.address, host.dataCentre });
    const auto leaving = host.host;
    host.membership->leave();
    m_fixture.run(leaveTime);
    auto* left = m_fixture.find(leaving);
    m_endedBytes += static_cast<double>(left->bytesIn + left->bytesOut);
    m_endedRulesBytes += static_cast<double>(left->rulesBytes);
    m_fixture.kill(leaving);
    ++m_figures.replacements;
}

void ControlExperiment::startPending()
{
    while (!m_starting.empty() && m_starting.begin()->first <= m_fixture.now()) {
        const auto host = m_starting.begin()->second;
        m_starting.erase(m_starting.begin());
        m_fixture.start(host.host, host.address, host.dataCentre);
    }
}

void ControlExperiment::publishDemand()
{
    if (m_fixture.now() < m_demandAt)
        return;
    m_demandAt = m_fixture.now() + demandInterval;
    for (auto* host : m_fixture.hosts()) {
        const std::string value(demandBytes, static_cast<char>('a' + m_random() % 26));
        host->membership->publish("demand", value, ItemScope::DataCentre);
    }
}

void ControlExperiment::onReported(const ControlHost& at, const Member& member)
{
    const auto ended = m_ended.find(member.incarnation);
    if (ended != m_ended.end() && !member.live() && ended->second.observers.erase(at.incarnation) > 0)
        m_detections.push_back(seconds(m_fixture.now() - ended->second.endedAt));
    if (!m_measuring || ended != m_ended.end())
        return;
    const auto* host = m_fixture.find(member.host);
    const bool running = host && host->incarnation == member.incarnation;
    if (running && member.state == MemberState::Suspect) {
        auto& last = m_suspectedAt[member.incarnation];
        if (m_fixture.now() - last > sameSuspicion)
            ++m_figures.falseSuspicions;
        last = m_fixture.now();
    }
    if (running && member.state == MemberState::Dead && m_falselyDead.insert(member.incarnation).second)
        ++m_figures.falseDeaths;
}

void ControlExperiment::collect()
{
    double bytes = m_endedBytes;
    double rulesBytes = m_endedRulesBytes;
    double worst = 0;
    for (const auto* host : m_fixture.hosts()) {
        const auto own = static_cast<double>(host->bytesIn + host->bytesOut);
        bytes += own;
        rulesBytes += static_cast<double>(host->rulesBytes);
        const auto ran = seconds(m_fixture.now() - std::max(host->startedAt, m_measuredFrom));
        // A host that has just started takes in all that is known, which is no steady rate.
        constexpr double shortestSeconds = 30;
        if (ran >= shortestSeconds)
            worst = std::max(worst, own / ran);
        m_figures.pingsRepeated += host->membership->counters().pingsRetried;
    }
    const auto length = seconds(m_fixture.now() - m_measuredFrom);
    m_figures.bytesPerSecondPerHost = bytes / length / m_options.hosts;
    m_figures.rulesBytesPerSecondPerHost = rulesBytes / length / m_options.hosts;
    m_figures.bytesPerSecondWorstHost = worst;
    m_figures.platformReadsPerSecond
        = static_cast<double>(m_fixture.platformReads() - m_readsBefore) / length;
    m_figures.changesUnfinished = m_changes.size();
    std::sort(m_detections.begin(), m_detections.end());
    constexpr double share = 0.99;
    if (!m_detections.empty()) {
        const auto rank = std::ceil(share * static_cast<double>(m_detections.size())) - 1;
        m_figures.failureDetectedP99 = m_detections[static_cast<std::size_t>(rank)];
    }
}

} // namespace almondscale
