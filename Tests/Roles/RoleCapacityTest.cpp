#include "Roles/RoleCapacity.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

struct Fixture {
    EngineProfile profile;
    RoleCapacity capacity { profile };
    Demand longPrompts { 10, 6000, 8, 6008 };
    Demand longAnswers { 10, 1000, 250, 1250 };
};

} // namespace

TEST_CASE_METHOD(Fixture, "RoleCapacity, one kind of engine missing, gives no answers")
{
    CHECK(capacity.answersPerSecond({ 3, 0, 0 }, longPrompts) == 0);
    CHECK(capacity.answersPerSecond({ 0, 3, 0 }, longPrompts) == 0);
}

TEST_CASE_METHOD(Fixture, "RoleCapacity, a pair of specialised engines, has the throughput of the slower one")
{
    const double prefill = 1 / capacity.prefillSeconds(longPrompts);
    const double decode = 1 / capacity.decodeSeconds(longPrompts);
    CHECK(capacity.answersPerSecond({ 1, 1, 0 }, longPrompts) == Approx(std::min(prefill, decode)));
}

TEST_CASE_METHOD(Fixture, "RoleCapacity, mixed engines, have the throughput given by their step times")
{
    // Decoding needs 250 / 64 steps of 8 ms, more than the 1000 / 512 steps of prefill. A prefill
    // token costs 20 us and a decode slot 110 us per step.
    const double secondsEach = 1000 * 20e-6 + 250 * 110e-6 + 250.0 / 64 * 8e-3;
    CHECK(capacity.answersPerSecond({ 0, 0, 2 }, longAnswers) == Approx(2 / secondsEach).epsilon(1e-4));
}

TEST_CASE_METHOD(Fixture, "RoleCapacity, one more engine of any role, never gives fewer answers")
{
    for (const auto& demand : { longPrompts, longAnswers }) {
        for (const auto& counts : allRoleCounts(6)) {
            const double before = capacity.answersPerSecond(counts, demand);
            for (const auto role : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
                RoleCounts more = counts;
                ++more.of(role);
                CHECK(capacity.answersPerSecond(more, demand) >= before * (1 - 1e-6));
            }
        }
    }
}

TEST_CASE_METHOD(Fixture, "RoleCapacity, long prompts and short answers, need more prefill engines")
{
    CHECK(capacity.best(6, longPrompts).prefill >= 3);
    CHECK(capacity.best(6, longAnswers).prefill <= 2);
}
