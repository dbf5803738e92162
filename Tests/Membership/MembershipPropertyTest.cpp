#include "FixtureSupport.h"

#include "Support/Property.h"

#include <catch2/catch.hpp>

#include <set>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr int hosts = 7;
    constexpr int dataCentres = 3;
    constexpr std::uint64_t propertySeed = 7;
    constexpr int propertyRuns = 40;
    constexpr auto recoveryLimit = seconds(60);

    RulesChange rulesOf(std::uint64_t version)
    {
        RulesChange change;
        change.version = RulesVersion(version);
        change.change = WriterId("change-" + std::to_string(version));
        change.text = "limit * requests-per-second=" + std::to_string(version) + " # dispatch\n";
        return change;
    }

    // Applies random steps to the hosts, the network and the platform, then checks that the hosts converge.
    class RandomRun {
    public:
        explicit RandomRun(std::uint64_t seed)
            : m_fixture(seed, {})
        {
            m_fixture.cut([this](const ControlHost& from, const ControlHost& to) {
                return m_partitioned.count({ from.dataCentre.text(), to.dataCentre.text() }) != 0;
            });
            m_fixture.applyRules(rulesOf(m_version));
            startHosts(m_fixture, hosts, dataCentres);
            m_fixture.run(seconds(5));
        }

        void step(int kind, int number)
        {
            const auto host = hostNumber(number % hosts);
            auto* running = m_fixture.find(host);
            switch (kind) {
            case 0:
                m_fixture.kill(host);
                m_fixture.start(
                    host, addressNumber(number % hosts), dataCentreNumber(number % hosts, dataCentres));
                break;
            case 1:
                running->paused = !running->paused;
                break;
            case 2:
                // In one direction only.
                m_partitioned.insert({ dataCentreNumber(number, dataCentres).text(),
                    dataCentreNumber(number / 3, dataCentres).text() });
                break;
            case 3:
                m_partitioned.clear();
                break;
            case 4:
                m_fixture.applyRules(rulesOf(++m_version));
                break;
            case 5:
                m_fixture.platformDown(number % 2 == 0);
                break;
            case 6:
                running->membership->publish("k", std::to_string(number), ItemScope::Everywhere);
                break;
            default:
                running->membership->retract("k");
                break;
            }
            m_fixture.run(milliseconds(200 + number % 50 * 100));
            recordReverts();
        }

        void recover()
        {
            m_partitioned.clear();
            m_fixture.platformDown(false);
            for (auto* host : m_fixture.hosts())
                host->paused = false;
        }

        bool converges()
        {
            const auto end = m_fixture.now() + recoveryLimit;
            while (m_fixture.now() < end) {
                m_fixture.run(seconds(1));
                recordReverts();
                if (m_fixture.converged() && itemsAgree() && rulesAgree())
                    return true;
            }
            return false;
        }

        bool reverted() const { return m_reverted; }

    private:
        void recordReverts()
        {
            for (const auto* host : m_fixture.hosts())
                m_reverted = m_reverted || host->rulesReverted;
        }

        bool rulesAgree()
        {
            for (const auto* host : m_fixture.hosts()) {
                if (host->rules != RulesVersion(m_version))
                    return false;
            }
            return true;
        }

        // Whether all hosts hold the same items.
        bool itemsAgree()
        {
            std::set<std::set<std::string>> views;
            for (auto* host : m_fixture.hosts()) {
                std::set<std::string> view;
                for (const auto& item : host->membership->items(""))
                    view.insert(item.host.text() + "=" + item.value);
                views.insert(view);
            }
            return views.size() == 1;
        }

        ControlFixture m_fixture;
        std::set<std::pair<std::string, std::string>> m_partitioned;
        std::uint64_t m_version = 1;
        bool m_reverted = false;
    };

} // namespace

TEST_CASE("Membership, restarts, pauses, partitions, outages and changes in random order, the hosts converge "
          "and no rules revert")
{
    const auto property = [](std::uint32_t seed) {
        RandomRun run(seed);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 1000)));
        for (const auto& [kind, number] : steps)
            run.step(kind, number);
        run.recover();
        RC_ASSERT(run.converges());
        RC_ASSERT_FALSE(run.reverted());
    };
    CHECK(test::propertyHolds("the hosts settle and no rules revert", propertySeed, propertyRuns, property));
}

} // namespace almondscale
