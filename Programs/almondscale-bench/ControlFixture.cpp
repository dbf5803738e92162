#include "ControlFixture.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto stepLength = std::chrono::milliseconds(1);
    constexpr auto pullRetry = std::chrono::milliseconds(400);
    // Length, authentication code, and the headers of a segment and of its acknowledgement.
    constexpr std::size_t frameOverheadBytes = 4 + 32 + 52 + 52;
    constexpr std::size_t pullRequestBytes = 100;
    constexpr MonotonicTime startOfTime { std::chrono::hours(1) };

} // namespace

ControlFixture::ControlFixture(std::uint64_t seed, const LinkBehaviour& link)
    : m_link(link)
    , m_random(seededRandom(seed))
    , m_now(startOfTime)
{
    m_keys.setKeys({ "the key of the in-memory link", {} });
}

ControlFixture::~ControlFixture() = default;

void ControlFixture::tune(Tune tune) { m_tune = std::move(tune); }

void ControlFixture::cut(Cut cut) { m_cut = std::move(cut); }

void ControlFixture::onReported(Reported reported) { m_reported = std::move(reported); }

void ControlFixture::seeds(std::vector<SeedHost> seeds) { m_seeds = std::move(seeds); }

ControlHost& ControlFixture::start(const HostId& host, const Address& address, const DataCentre& dataCentre)
{
    auto& slot = m_hosts[address];
    slot = std::make_unique<ControlHost>();
    slot->host = host;
    slot->address = address;
    slot->dataCentre = dataCentre;
    slot->incarnation = Incarnation(++m_incarnations);
    slot->startedAt = m_now;
    slot->nextTick = m_now + Nanoseconds(uniformBelow(m_random, Nanoseconds(tickInterval).count()));
    MembershipSettings settings;
    settings.host = host;
    settings.address = address;
    settings.dataCentre = dataCentre;
    settings.incarnation = slot->incarnation;
    if (m_tune)
        m_tune(settings);
    slot->membership = std::make_unique<Membership>(settings, hooksFor(*slot));
    slot->membership->setSeeds(m_seeds);
    return *slot;
}

MembershipHooks ControlFixture::hooksFor(ControlHost& host)
{
    MembershipHooks hooks;
    hooks.clock = [this] { return m_now; };
    hooks.random = [this] { return m_random(); };
    hooks.send
        = [this, &host](const Address& to, const std::string& bytes) { sendFrame(host.address, to, bytes); };
    hooks.memberChanged = [this, &host](const Member& member) {
        host.reported[member.host] = member;
        if (m_reported)
            m_reported(host, member);
    };
    hooks.itemChanged
        = [&host](const SharedItem& item) { host.items[item.host.text() + "/" + item.key] = item.value; };
    hooks.rulesChanged = [this, &host](const Member& member) {
        if (member.rules <= host.rules || member.rules <= host.wantedRules)
            return;
        host.wantedRules = member.rules;
        pullRules(host, member.address);
    };
    return hooks;
}

void ControlFixture::pullRules(ControlHost& host, const Address& from)
{
    host.pullFrom = from;
    host.pullAgainAt = m_now + pullRetry;
    Delivery delivery;
    delivery.askedRules = host.wantedRules;
    send(host.address, from, std::move(delivery), pullRequestBytes);
}

void ControlFixture::kill(const HostId& host)
{
    auto* found = find(host);
    if (found)
        m_hosts.erase(Address(found->address));
}

void ControlFixture::pause(const HostId& host) { find(host)->paused = true; }

void ControlFixture::resume(const HostId& host) { find(host)->paused = false; }

void ControlFixture::applyRules(const HostId& host, RulesVersion version)
{
    auto& target = *find(host);
    target.rules = std::max(target.rules, version);
    target.membership->setRules(target.rules);
}

void ControlFixture::inject(const HostId& host, const std::string& bytes)
{
    find(host)->membership->onFrame(bytes);
}

void ControlFixture::send(const Address& from, const Address& to, Delivery delivery, std::size_t bytes)
{
    auto* sender = at(from);
    const auto* receiver = at(to);
    sender->bytesOut += bytes + frameOverheadBytes;
    if (delivery.frame.empty())
        sender->rulesBytes += bytes + frameOverheadBytes;
    if (!receiver || uniform(m_random) < m_link.loss)
        return;
    if (m_cut && m_cut(*sender, *receiver))
        return;
    const auto delay = sender->dataCentre == receiver->dataCentre ? m_link.within : m_link.across;
    const auto jitter = Nanoseconds(uniformBelow(m_random, static_cast<std::uint64_t>(delay.count())));
    delivery.from = from;
    delivery.to = to;
    m_deliveries.emplace(m_now + delay + jitter, std::move(delivery));
}

void ControlFixture::sendFrame(const Address& from, const Address& to, const std::string& frame)
{
    Delivery delivery;
    delivery.frame = frame;
    if (m_link.sign)
        delivery.code = m_keys.sign({ {}, 0, to }, frame);
    send(from, to, std::move(delivery), frame.size());
}

bool ControlFixture::accepts(const Delivery& delivery) const
{
    return !m_link.sign || m_keys.accepts({ {}, 0, delivery.to }, delivery.frame, delivery.code);
}

void ControlFixture::deliver(const Delivery& delivery)
{
    auto* host = at(delivery.to);
    if (!host)
        return;
    if (host->paused) {
        m_deliveries.emplace(m_now + tickInterval, delivery);
        return;
    }
    if (delivery.askedRules != RulesVersion()) {
        host->bytesIn += pullRequestBytes + frameOverheadBytes;
        if (host->rules < delivery.askedRules)
            return;
        Delivery answer;
        answer.carriedRules = host->rules;
        send(host->address, delivery.from, std::move(answer), m_link.rulesBytes);
        return;
    }
    if (delivery.carriedRules != RulesVersion()) {
        host->bytesIn += m_link.rulesBytes + frameOverheadBytes;
        host->rulesBytes += m_link.rulesBytes + frameOverheadBytes;
        host->rules = std::max(host->rules, delivery.carriedRules);
        host->membership->setRules(host->rules);
        return;
    }
    host->bytesIn += delivery.frame.size() + frameOverheadBytes;
    if (accepts(delivery))
        host->membership->onFrame(delivery.frame);
}

void ControlFixture::runTicks()
{
    for (auto& [address, host] : m_hosts) {
        if (host->paused || m_now < host->nextTick)
            continue;
        host->nextTick = m_now + tickInterval;
        host->membership->tick();
        if (host->rules < host->wantedRules && m_now >= host->pullAgainAt)
            pullRules(*host, host->pullFrom);
    }
}

void ControlFixture::run(Nanoseconds length)
{
    const auto end = m_now + length;
    while (m_now < end) {
        m_now += stepLength;
        while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
            const auto delivery = std::move(m_deliveries.begin()->second);
            m_deliveries.erase(m_deliveries.begin());
            deliver(delivery);
        }
        runTicks();
    }
}

ControlHost* ControlFixture::at(const Address& address)
{
    const auto found = m_hosts.find(address);
    return found == m_hosts.end() ? nullptr : found->second.get();
}

ControlHost* ControlFixture::find(const HostId& host)
{
    for (auto& [address, candidate] : m_hosts) {
        if (candidate->host == host)
            return candidate.get();
    }
    return nullptr;
}

std::vector<ControlHost*> ControlFixture::hosts()
{
    std::vector<ControlHost*> all;
    for (auto& [address, host] : m_hosts)
        all.push_back(host.get());
    return all;
}

std::size_t ControlFixture::holdLive(const HostId& host)
{
    std::size_t count = 0;
    for (auto& [address, observer] : m_hosts) {
        const auto member = observer->membership->member(host);
        if (member && member->live())
            ++count;
    }
    return count;
}

bool ControlFixture::converged()
{
    for (auto& [address, observer] : m_hosts) {
        std::size_t live = 0;
        for (const auto& member : observer->membership->members()) {
            if (!member.live())
                continue;
            ++live;
            const auto* host = find(member.host);
            if (!host || host->incarnation != member.incarnation)
                return false;
        }
        if (live != m_hosts.size())
            return false;
    }
    return true;
}

} // namespace almondscale
