#include "CrashGuard.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

// Two hosts whose pushes reach each other at once.
class TwoGuards {
protected:
    TwoGuards()
        : m_first(hooks([this](const PushedItem& item) { m_second.merge(item.value); }))
        , m_second(hooks([this](const PushedItem& item) { m_first.merge(item.value); }))
    {
    }

    CrashGuardHooks hooks(const std::function<void(const PushedItem&)>& deliver)
    {
        CrashGuardHooks hooks;
        hooks.clock = [this] { return m_now; };
        hooks.publish = [](const std::string&, const std::string&) {};
        hooks.retract = [](const std::string&) {};
        hooks.push = [deliver](const std::vector<PushedItem>& items) {
            for (const PushedItem& item : items)
                deliver(item);
        };
        return hooks;
    }

    void settle() { m_now += std::chrono::seconds(1); }

    MonotonicTime m_now { std::chrono::seconds(10) };
    CrashGuard m_first;
    CrashGuard m_second;
};

const EngineInstance firstRun { EngineId("e 1"), 7 };
const EngineInstance secondRun { EngineId("e 2"), 8 };
const Fingerprint bad { 18000000000000000000ULL };
const Fingerprint good { 5 };

} // namespace

TEST_CASE_METHOD(
    TwoGuards, "CrashGuard, request that crashed alone after a shared crash, is refused at both hosts")
{
    m_first.started(firstRun, bad);
    m_first.started(firstRun, good);
    m_first.crashed(firstRun, bad, false);
    settle();
    CHECK(m_second.verdict(bad) == StrikeVerdict::Suspect);
    CHECK(m_second.verdict(good) == StrikeVerdict::Suspect);
    m_first.crashed(secondRun, bad, true);
    settle();
    CHECK(m_first.verdict(bad) == StrikeVerdict::Refused);
    CHECK(m_second.verdict(bad) == StrikeVerdict::Refused);
    CHECK(m_second.verdict(good) == StrikeVerdict::Suspect);
}

TEST_CASE_METHOD(TwoGuards, "CrashGuard, request that completed alone, is normal again at both hosts")
{
    m_first.started(firstRun, good);
    m_first.crashed(firstRun, good, false);
    settle();
    m_first.completedAlone(good);
    CHECK(m_first.verdict(good) == StrikeVerdict::Normal);
    CHECK(m_second.verdict(good) == StrikeVerdict::Normal);
}

TEST_CASE_METHOD(TwoGuards, "CrashGuard, engine with an attempt of this host, runs until the attempt ends")
{
    m_first.started(firstRun, good);
    m_first.started(firstRun, good);
    m_first.ended(firstRun, good);
    CHECK(m_first.runs(firstRun.engine));
    m_first.ended(firstRun, good);
    CHECK_FALSE(m_first.runs(firstRun.engine));
}

TEST_CASE("decodeStrike, text that is no record, is nothing")
{
    CHECK_FALSE(decodeStrike("{", MonotonicTime {}).has_value());
}
