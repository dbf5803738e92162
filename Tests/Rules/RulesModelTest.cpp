#include "Rules/RulesParser.h"
#include "Rules/RulesReplica.h"
#include "Rules/RulesStore.h"

#include "Support/FakeTable.h"
#include "Support/Property.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace almondscale;
using almondscale::test::FakeTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int organisations = 4;

std::string rulesText(const std::vector<int>& rates)
{
    std::string text;
    for (std::size_t i = 0; i < rates.size(); ++i)
        text += "limit o" + std::to_string(i) + " requests-per-second=" + std::to_string(rates[i]) + " # x\n";
    return text;
}

std::vector<int> ratesOf(const std::string& text)
{
    std::vector<int> rates(organisations, 0);
    for (const auto& rule : parseRules(text).rules.limits)
        rates[static_cast<std::size_t>(rule.organisation.text().back() - '0')]
            = static_cast<int>(rule.requestsPerSecond);
    return rates;
}

// One operator's change: sets one rate in the text that the operator last read.
struct Edit {
    std::string change;
    RulesVersion base;
    std::size_t organisation = 0;
    int rate = 0;
};

// Operators that share one table; their table calls are interleaved at random.
class Operators {
public:
    explicit Operators(RandomSource random)
        : m_random(std::move(random))
    {
        m_fake.beforeCall = [this](const char*, const std::string&) { injectRandomEvent(); };
    }

    void run(int changes)
    {
        m_left = changes;
        while (m_left > 0)
            applyOne();
        m_fake.beforeCall = nullptr;
        m_fake.loseWriteAnswers = m_fake.loseWrites = m_fake.failReads = 0;
        m_fake.down = false;
    }

    // Replays the history on a single copy and checks each version, and the outcome that each operator got.
    void check()
    {
        RulesStore store(m_fake.table());
        auto history = store.history(RulesVersion(0), 1000);
        RC_ASSERT(history.ok());
        std::reverse(history.value().begin(), history.value().end());
        std::vector<int> copy(organisations, 0);
        std::uint64_t version = 0;
        std::set<std::string> inForce;
        for (const auto& change : history.value()) {
            RC_ASSERT(change.version.count() == ++version);
            RC_ASSERT(inForce.insert(change.change.text()).second);
            const auto& edit = m_edits.at(change.change.text());
            copy[edit.organisation] = edit.rate;
            RC_ASSERT(ratesOf(change.text) == copy);
        }
        for (const auto& [change, outcome] : m_outcomes) {
            const bool applied
                = outcome == RulesApplyOutcome::Applied || outcome == RulesApplyOutcome::Merged;
            if (outcome != RulesApplyOutcome::Unknown)
                RC_ASSERT(applied == (inForce.count(change) == 1));
        }
        inForceCount = inForce.size();
    }

    std::size_t inForceCount = 0;

private:
    void applyOne()
    {
        --m_left;
        RulesStore store(m_fake.table());
        const auto base = store.newerThan(RulesVersion(0));
        if (!base)
            return;
        std::vector<int> rates(organisations, 0);
        RulesVersion version;
        if (base.value()) {
            rates = ratesOf(base.value()->text);
            version = base.value()->version;
        }
        Edit edit;
        edit.change = "c" + std::to_string(m_edits.size());
        edit.organisation = uniformBelow(m_random, organisations);
        edit.rate = static_cast<int>(2 + m_edits.size());
        rates[edit.organisation] = edit.rate;
        m_edits[edit.change] = edit;
        const auto result = store.apply({ version, WriterId(edit.change), "x", 0, textOf(rates) });
        m_outcomes[edit.change] = result.outcome;
    }

    // Writes a comment for organisations without a rate, as a rate of 0 is invalid.
    static std::string textOf(const std::vector<int>& rates)
    {
        std::string text;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            const auto name = "o" + std::to_string(i);
            if (rates[i] > 0)
                text += "limit " + name + " requests-per-second=" + std::to_string(rates[i]) + " # x\n";
            else
                text += "# no limit for " + name + "\n";
        }
        return text;
    }

    // Runs before each table call: another operator applies a change, or the table fails.
    void injectRandomEvent()
    {
        const auto draw = uniformBelow(m_random, 50);
        m_fake.down = draw == 0;
        if (draw == 1)
            m_fake.loseWriteAnswers = 1;
        if (draw == 2)
            m_fake.loseWrites = 1;
        if (draw == 3)
            m_fake.failReads = 1;
        if (draw >= 4 && draw < 14 && m_left > 0 && m_depth < 3) {
            ++m_depth;
            applyOne();
            --m_depth;
        }
    }

    RandomSource m_random;
    FakeTable m_fake;
    int m_left = 0;
    int m_depth = 0;
    std::map<std::string, Edit> m_edits;
    std::map<std::string, RulesApplyOutcome> m_outcomes;
};

// Hosts with replicas that share one table; hosts can be isolated from the network.
class Fleet {
public:
    explicit Fleet(RandomSource random)
        : m_random(std::move(random))
        , m_hosts(hostCount)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            restart(i);
    }

    void injectRandomEventsAndRun(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            injectRandomEvent();
            step();
        }
    }

    void recoverAndRun(Nanoseconds time)
    {
        m_isolated.clear();
        m_fake.down = false;
        for (const auto end = m_now + time; m_now < end;)
            step();
    }

    void apply()
    {
        RulesStore store(m_fake.table());
        const auto current = store.newerThan(RulesVersion(0));
        if (!current)
            return;
        const auto base = current.value() ? current.value()->version : RulesVersion(0);
        const auto change = "c" + std::to_string(++m_changes);
        const auto text = rulesText({ m_changes, 1 });
        const auto result = store.apply({ base, WriterId(change), "x", 0, text });
        if (result.outcome == RulesApplyOutcome::Applied)
            m_texts[result.version] = text;
    }

    bool allHold(RulesVersion version) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(),
            [&](const Host& host) { return host.replica->version() == version; });
    }

    RulesVersion newest() const { return m_texts.empty() ? RulesVersion(0) : m_texts.rbegin()->first; }

private:
    static constexpr std::size_t hostCount = 5;

    struct Host {
        std::unique_ptr<RulesReplica> replica;
        RulesVersion highest;
        bool platformAsked = false;
        std::optional<HostId> pullFrom;
        // Whether the platform has answered since the last restart. Only then must the host not adopt
        // an older version than before the restart.
        bool reachedPlatform = false;
    };

    static HostId id(std::size_t i) { return HostId("h" + std::to_string(i)); }

    void restart(std::size_t i)
    {
        auto& host = m_hosts[i];
        host.platformAsked = false;
        host.pullFrom.reset();
        host.reachedPlatform = false;
        RulesReplicaHooks hooks;
        hooks.readPlatform = [&host](RulesVersion) { host.platformAsked = true; };
        hooks.pullFromPeer = [&host](const HostId& peer) { host.pullFrom = peer; };
        hooks.dataCentreRank = [i] { return DataCentreRank { hostCount, i }; };
        hooks.random = m_random;
        hooks.adopted = [this, &host](const std::shared_ptr<const RuleSet>& rules) {
            RC_ASSERT(m_texts.count(rules->version) == 1);
            RC_ASSERT(m_texts.at(rules->version) == rules->text);
            if (host.reachedPlatform)
                RC_ASSERT(rules->version >= host.highest);
            host.highest = rules->version;
        };
        host.replica = std::make_unique<RulesReplica>(hooks);
    }

    void injectRandomEvent()
    {
        const auto draw = uniformBelow(m_random, 40);
        if (draw == 0)
            m_fake.down = !m_fake.down;
        if (draw == 1)
            m_isolated.insert(uniformBelow(m_random, hostCount));
        if (draw == 2)
            m_isolated.clear();
        if (draw == 3)
            restart(uniformBelow(m_random, hostCount));
        if (draw >= 4 && draw < 8)
            apply();
    }

    // Advances all hosts by 100 ms.
    void step()
    {
        m_now += milliseconds(100);
        for (std::size_t i = 0; i < hostCount; ++i) {
            auto& host = m_hosts[i];
            host.replica->tick(m_now);
            answerPlatform(host, m_isolated.count(i) == 1);
            answerPull(host, i);
            deliverHeartbeat(host, i);
        }
    }

    void answerPlatform(Host& host, bool cut)
    {
        if (!std::exchange(host.platformAsked, false))
            return;
        RulesStore store(m_fake.table());
        const auto newer = store.newerThan(host.replica->version());
        if (cut || !newer) {
            host.replica->onPlatformUnavailable(m_now);
            return;
        }
        host.reachedPlatform = true;
        host.replica->onPlatformRules(m_now, newer.value());
    }

    void answerPull(Host& host, std::size_t own)
    {
        const auto peer = std::exchange(host.pullFrom, std::nullopt);
        if (!peer)
            return;
        const auto from = static_cast<std::size_t>(peer->text().back() - '0');
        const auto change = m_hosts[from].replica->change();
        if (m_isolated.count(own) == 1 || m_isolated.count(from) == 1 || !change)
            host.replica->onPullFailed(m_now, *peer);
        else
            host.replica->onPulled(m_now, *peer, *change);
    }

    // Delivers the heartbeat of one randomly chosen host.
    void deliverHeartbeat(Host& host, std::size_t own)
    {
        const auto from = uniformBelow(m_random, hostCount);
        if (from == own || m_isolated.count(own) == 1 || m_isolated.count(from) == 1)
            return;
        host.replica->onPeerVersion(m_now, id(from), m_hosts[from].replica->version());
    }

    RandomSource m_random;
    FakeTable m_fake;
    MonotonicTime m_now { seconds(1000) };
    std::vector<Host> m_hosts;
    std::set<std::size_t> m_isolated;
    int m_changes = 0;
    std::map<RulesVersion, std::string> m_texts;
};

} // namespace

TEST_CASE("RulesStore, operators and table failures interleaved at random, matches a single copy")
{
    std::size_t inForce = 0;
    const bool held = test::propertyHolds(
        "rules store against a single copy", 20261, 400, [&inForce](std::uint64_t seed) {
            Operators operators(seededRandom(seed));
            operators.run(12);
            operators.check();
            inForce += operators.inForceCount;
        });
    CHECK(held);
    std::cout << "changes_in_force=" << inForce << '\n';
    CHECK(inForce > 400);
}

TEST_CASE(
    "RulesReplica, hosts under restarts, partitions and outages, never revert and agree 4 s after recovery")
{
    const bool held = test::propertyHolds("rules at hosts never go back", 20262, 200, [](std::uint64_t seed) {
        Fleet fleet(seededRandom(seed));
        fleet.injectRandomEventsAndRun(300);
        fleet.recoverAndRun(seconds(4));
        RC_ASSERT(fleet.allHold(fleet.newest()));
        fleet.apply();
        fleet.recoverAndRun(seconds(4));
        RC_ASSERT(fleet.allHold(fleet.newest()));
    });
    CHECK(held);
}
