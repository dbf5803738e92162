#include "Forwarding/MemoryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mib = 1 << 20;

// A budget of 16 MiB: short above 12, for large messages up to 14.
class MemoryPolicyFixture {
public:
    // A message, by the time since it began and since its last progress.
    MemoryUse use(
        MemoryPhase phase, std::size_t bytes, std::size_t remaining, Nanoseconds age, Nanoseconds silence)
    {
        uses.push_back({ uses.size() + 1, phase, bytes, remaining, now - age, now - silence });
        return uses.back();
    }

    MemoryDecision decide() const
    {
        std::size_t used = 0;
        for (const auto& use : uses)
            used += use.bytes;
        return policy.decide(uses, used, now);
    }

    using Ends = std::vector<std::pair<std::uint64_t, MemoryEnd>>;

    MemoryPolicy policy { 16 * mib };
    MonotonicTime now { 100s };
    std::vector<MemoryUse> uses;
};

} // namespace

TEST_CASE_METHOD(MemoryPolicyFixture, "Messages that stop are left alone while memory is not short")
{
    use(MemoryPhase::Receiving, 11 * mib, mib, 2s, 2s);
    CHECK_FALSE(decide().isShort);
    CHECK(decide().ended.empty());
}

TEST_CASE_METHOD(
    MemoryPolicyFixture, "Short memory: stopped messages end first, those that sent steadily do not")
{
    const auto steady = use(MemoryPhase::Receiving, 4 * mib, mib / 2, 2s, 10ms);
    const auto brief = use(MemoryPhase::Receiving, 4 * mib, 1, 2s, 800ms);
    const auto longer = use(MemoryPhase::Receiving, 4 * mib + 1, 1, 2s, 1800ms);
    const auto decision = decide();
    CHECK(decision.ended == Ends { { longer.id, MemoryEnd::Stalled } });
    CHECK(std::count(decision.granted.begin(), decision.granted.end(), steady.id) == 1);
    CHECK(std::count(decision.granted.begin(), decision.granted.end(), brief.id) == 0);
}

TEST_CASE_METHOD(MemoryPolicyFixture, "Short memory: only messages that can complete are read further")
{
    use(MemoryPhase::Running, 10 * mib, 0, 1s, 1s);
    const auto large = use(MemoryPhase::Receiving, mib, 3 * mib, 1s, 10ms);
    const auto nearlyDone = use(MemoryPhase::Receiving, mib + 1, mib / 2, 1s, 10ms);
    const auto decision = decide();
    CHECK(decision.granted == std::vector<std::uint64_t> { nearlyDone.id });
    CHECK(decision.ended.empty());
    CHECK(policy.mayGrow(mib, 16 << 10, true, 13 * mib));
    CHECK_FALSE(policy.mayGrow(mib, 16 << 10, false, 13 * mib));
    CHECK(large.id != nearlyDone.id);
}

// Guards against messages that wait for each other's memory until their deadlines.
TEST_CASE_METHOD(
    MemoryPolicyFixture, "Messages of which none can complete: the one that held most for longest ends")
{
    use(MemoryPhase::Receiving, 4 * mib, 4 * mib, 1s, 10ms);
    const auto oldest = use(MemoryPhase::Receiving, 4 * mib, 4 * mib, 2s, 10ms);
    use(MemoryPhase::Buffering, 4 * mib + 1, 4 * mib, 1s, 10ms);
    CHECK(decide().ended == Ends { { oldest.id, MemoryEnd::NoRoom } });
}

TEST_CASE_METHOD(MemoryPolicyFixture, "Unread responses end sooner when memory is short")
{
    const auto unread = use(MemoryPhase::Sending, mib, 0, 2s, 2s);
    CHECK(decide().ended.empty());
    use(MemoryPhase::Running, 12 * mib, 0, 2s, 2s);
    CHECK(decide().ended == Ends { { unread.id, MemoryEnd::Unread } });
    uses = { unread };
    now += 3s;
    CHECK(decide().ended == Ends { { unread.id, MemoryEnd::Unread } });
}

TEST_CASE_METHOD(MemoryPolicyFixture, "Small messages find room that large ones cannot take")
{
    CHECK_FALSE(policy.mayGrow(mib, 1000, true, 14 * mib + mib / 2));
    CHECK(policy.mayGrow(0, 16 << 10, false, 14 * mib + mib / 2));
    CHECK(policy.mayGrow(0, 1000, false, 16 * mib - 1000));
    CHECK_FALSE(policy.mayGrow(0, 1001, false, 16 * mib - 1000));
}

TEST_CASE("Random callers never hold more than the budget, and all of them end")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::srand(seed);
        MemoryBudget budget(8 * mib);
        struct Caller {
            std::unique_ptr<MemoryBudget::Holder> holder;
            std::size_t bytes = 0;
            std::size_t length = 0;
            std::size_t stop = 0;
            bool ended = false;
        };
        std::vector<Caller> callers(60);
        MonotonicTime now { 1s };
        std::size_t done = 0;
        for (auto& caller : callers) {
            caller.length = static_cast<std::size_t>(std::rand()) % (4 * mib) + 1;
            caller.stop = std::rand() % 2 == 0 ? caller.length : caller.length - 1;
            caller.holder = std::make_unique<MemoryBudget::Holder>(budget, 1000, MemoryPhase::Receiving, now,
                MemoryBudget::Holder::Hooks { {}, [&caller](MemoryEnd) { caller.ended = true; } });
        }
        for (int step = 0; step < 4000 && done < callers.size(); ++step, now += 10ms) {
            for (auto& caller : callers) {
                const auto more = std::min<std::size_t>(64 << 10, caller.stop - caller.bytes);
                if (caller.holder && !caller.ended && more > 0 && caller.holder->mayGrow(more, now)) {
                    caller.bytes += more;
                    caller.holder->setBytes(caller.bytes, caller.length - caller.bytes);
                    caller.holder->noteProgress(now);
                }
                if (caller.holder && (caller.ended || caller.bytes == caller.length)) {
                    caller.holder.reset();
                    ++done;
                }
            }
            REQUIRE(budget.heldBytes() <= budget.size());
            budget.sweepIfDue(now);
        }
        // Those that are left stopped short of their end, and would end by their deadline.
        for (const auto& caller : callers)
            CHECK((!caller.holder || caller.bytes == caller.stop));
    }
}
