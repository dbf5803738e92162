#include "ControlFixture.h"

#include "Rules/RulesRows.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto stepLength = std::chrono::milliseconds(1);
    // Length, authentication code, and the headers of a segment and of its acknowledgement.
    constexpr std::size_t frameOverheadBytes = 4 + 32 + 52 + 52;
    // A read of the head of the rules over HTTP, with headers of segments.
    constexpr std::size_t readRequestBytes = 300;
    constexpr std::size_t readAnswerBytes = 400;
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
    slot->keeper = std::make_unique<RulesReplica>(keeperHooksFor(*slot));
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
        if (!member.live())
            host.keeper->onPeerGone(member.host);
        if (m_reported)
            m_reported(host, member);
    };
    hooks.itemChanged
        = [&host](const SharedItem& item) { host.items[item.host.text() + "/" + item.key] = item.value; };
    hooks.newerRulesSeen = [this, &host](const Member& member) {
        host.keeper->onPeerVersion(m_now, member.host, member.rules);
    };
    hooks.requestReceived = [&host](const PeerRequest& request) {
        const auto change = host.keeper->change();
        host.membership->reply(request, change ? encodeRulesChange(*change) : std::string());
    };
    return hooks;
}

RulesReplicaHooks ControlFixture::keeperHooksFor(ControlHost& host)
{
    RulesReplicaHooks hooks;
    hooks.random = [this] { return m_random(); };
    hooks.pullFromPeer = [this, &host](const HostId& peer) { pullRules(host, peer); };
    hooks.readPlatform = [this, &host](RulesVersion known) { readPlatform(host, known); };
    hooks.adopted = [&host](const std::shared_ptr<const RuleSet>& rules) {
        host.rulesReverted = host.rulesReverted || rules->version < host.rules;
        host.rules = rules->version;
        host.membership->setRules(rules->version);
    };
    hooks.dataCentreRank = [&host] {
        DataCentreRank result;
        for (const auto& member : host.membership->members()) {
            if (member.host == host.host || member.dataCentre != host.dataCentre || !member.live())
                continue;
            ++result.hosts;
            if (member.host < host.host)
                ++result.rank;
        }
        return result;
    };
    return hooks;
}

void ControlFixture::pullRules(ControlHost& host, const HostId& peer) const
{
    host.membership->request(peer, "rules", [this, &host, peer](const Result<std::string>& answer) {
        if (answer)
            host.rulesBytes += answer.value().size();
        const auto change = answer ? decodeRulesChange(answer.value()) : std::nullopt;
        if (change)
            host.keeper->onPulled(m_now, peer, *change);
        else
            host.keeper->onPullFailed(m_now, peer);
    });
}

void ControlFixture::readPlatform(const ControlHost& host, RulesVersion known)
{
    const auto address = host.address;
    const auto incarnation = host.incarnation;
    m_events.emplace(m_now + m_link.toPlatform,
        [this, address, incarnation, known] { answerRead(address, incarnation, known); });
}

void ControlFixture::answerRead(const Address& address, Incarnation incarnation, RulesVersion known)
{
    auto* host = at(address);
    if (!host || host->incarnation != incarnation)
        return;
    if (m_platformDown) {
        host->keeper->onPlatformUnavailable(m_now);
        return;
    }
    ++m_platformReads;
    host->bytesOut += readRequestBytes;
    host->bytesIn += readAnswerBytes;
    if (!m_rules || m_rules->version <= known) {
        host->keeper->onPlatformRules(m_now, std::nullopt);
        return;
    }
    host->bytesIn += m_rules->text.size();
    host->rulesBytes += m_rules->text.size();
    host->keeper->onPlatformRules(m_now, m_rules);
}

void ControlFixture::kill(const HostId& host)
{
    auto* found = find(host);
    if (found)
        m_hosts.erase(Address(found->address));
}

void ControlFixture::pause(const HostId& host) { find(host)->paused = true; }

void ControlFixture::resume(const HostId& host) { find(host)->paused = false; }

void ControlFixture::applyRules(const RulesChange& change) { m_rules = change; }

void ControlFixture::platformDown(bool down) { m_platformDown = down; }

void ControlFixture::inject(const HostId& host, const std::string& bytes)
{
    find(host)->membership->onFrame(bytes);
}

void ControlFixture::sendFrame(const Address& from, const Address& to, const std::string& frame)
{
    auto* sender = at(from);
    const auto* receiver = at(to);
    Delivery delivery { from, to, frame, {} };
    if (m_link.sign)
        delivery.code = m_keys.sign({ {}, 0, to }, frame);
    sender->bytesOut += frame.size() + frameOverheadBytes;
    if (!receiver || uniform(m_random) < m_link.loss)
        return;
    if (m_cut && m_cut(*sender, *receiver))
        return;
    const auto delay = sender->dataCentre == receiver->dataCentre ? m_link.within : m_link.across;
    const auto jitter = Nanoseconds(uniformBelow(m_random, static_cast<std::uint64_t>(delay.count())));
    m_events.emplace(m_now + delay + jitter, [this, delivery = std::move(delivery)] { deliver(delivery); });
}

bool ControlFixture::accepts(const Delivery& delivery) const
{
    return !m_link.sign || m_keys.verify({ {}, 0, delivery.to }, delivery.frame, delivery.code);
}

void ControlFixture::deliver(const Delivery& delivery)
{
    auto* host = at(delivery.to);
    if (!host)
        return;
    if (host->paused) {
        m_events.emplace(m_now + tickInterval, [this, delivery] { deliver(delivery); });
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
        host->keeper->tick(m_now);
    }
}

void ControlFixture::run(Nanoseconds length)
{
    const auto end = m_now + length;
    while (m_now < end) {
        m_now += stepLength;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
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
