#include "Rules/RulesStore.h"

#include "Support/FakeTable.h"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace almondscale;
using almondscale::test::FakeTable;

namespace {

std::string limit(const std::string& name, int rate)
{
    return "limit " + name + " requests-per-second=" + std::to_string(rate) + " # ana\n";
}

RulesProposal proposal(std::uint64_t base, const std::string& change, const std::string& text)
{
    return { RulesVersion(base), WriterId(change), "ana", 1'700'000'000, text };
}

const std::string first = limit("a", 1) + limit("b", 1);

// A store on a table that holds version 1.
struct RulesStoreFixture {
    FakeTable fake;
    RulesStore store { fake.table() };

    RulesStoreFixture() { REQUIRE(applied(proposal(0, "c1", first)) == RulesApplyOutcome::Applied); }

    RulesApplyOutcome applied(const RulesProposal& change) { return store.apply(change).outcome; }

    std::string textInForce()
    {
        const auto change = store.newerThan(RulesVersion(0));
        REQUIRE(change.ok());
        return change.value()->text;
    }

    // Runs the action once, before the next call of this kind on this key.
    void before(const std::string& call, const std::string& key, const std::function<void()>& action)
    {
        fake.beforeCall = [this, call, key, action](const char* name, const std::string& on) {
            if (name != call || on != key)
                return;
            fake.beforeCall = nullptr;
            action();
        };
    }
};

} // namespace

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, changes one after another, keeps them in its history")
{
    CHECK(applied(proposal(1, "c2", first + limit("c", 1))) == RulesApplyOutcome::Applied);
    const auto history = store.history(RulesVersion(0), 10);
    REQUIRE(history.ok());
    REQUIRE(history.value().size() == 2);
    CHECK(history.value()[0].version == RulesVersion(2));
    CHECK(history.value()[0].parent == WriterId("c1"));
    CHECK(history.value()[1].text == first);
    CHECK_FALSE(store.newerThan(RulesVersion(2)).value().has_value());
}

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, text with errors, changes nothing")
{
    const auto rows = fake.rows().size();
    const auto result = store.apply(proposal(1, "c2", "limit a requests-per-second=1\n"));
    CHECK(result.outcome == RulesApplyOutcome::Invalid);
    CHECK(result.errors.size() == 1);
    CHECK(fake.rows().size() == rows);
}

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, operators race on different lines, puts both in force")
{
    before("write", rulesHeadKey, [this] {
        RulesStore other(fake.table());
        const auto change = proposal(1, "c2", limit("a", 2) + limit("b", 1));
        REQUIRE(other.apply(change).outcome == RulesApplyOutcome::Applied);
    });
    CHECK(applied(proposal(1, "c3", limit("a", 1) + limit("b", 3))) == RulesApplyOutcome::Merged);
    CHECK(textInForce() == limit("a", 2) + limit("b", 3));
}

TEST_CASE_METHOD(
    RulesStoreFixture, "RulesStore, operators race on the same line, names the conflicting change and line")
{
    before("write", rulesHeadKey, [this] {
        RulesStore other(fake.table());
        const auto change = proposal(1, "c2", limit("a", 1) + limit("b", 2));
        REQUIRE(other.apply(change).outcome == RulesApplyOutcome::Applied);
    });
    const auto result = store.apply(proposal(1, "c3", limit("a", 1) + limit("b", 3)));
    CHECK(result.outcome == RulesApplyOutcome::Clash);
    CHECK(result.version == RulesVersion(2));
    REQUIRE(result.winner);
    CHECK(result.winner->change == WriterId("c2"));
    REQUIRE(result.clashes.size() == 1);
    CHECK(result.clashes[0].proposedLine == 2);
    CHECK(textInForce() == limit("a", 1) + limit("b", 2));
}

TEST_CASE_METHOD(RulesStoreFixture,
    "RulesStore, both add a rule for one organisation, rejects the second with the merged text")
{
    REQUIRE(applied(proposal(1, "c2", first + limit("c", 1))) == RulesApplyOutcome::Applied);
    const auto result = store.apply(proposal(1, "c3", first + limit("c", 2)));
    CHECK(result.outcome == RulesApplyOutcome::Invalid);
    REQUIRE(result.winner);
    CHECK(result.winner->change == WriterId("c2"));
    CHECK(result.mergedText == first + limit("c", 1) + limit("c", 2));
    CHECK(textInForce() == first + limit("c", 1));
}

TEST_CASE_METHOD(
    RulesStoreFixture, "RulesStore, two versions behind, names the conflicting change and not the newest")
{
    REQUIRE(applied(proposal(1, "c2", limit("a", 2) + limit("b", 1))) == RulesApplyOutcome::Applied);
    REQUIRE(applied(proposal(2, "c3", limit("a", 2) + limit("b", 2))) == RulesApplyOutcome::Applied);
    const auto result = store.apply(proposal(1, "c4", limit("a", 9) + limit("b", 1)));
    REQUIRE(result.winner);
    CHECK(result.winner->change == WriterId("c2"));
}

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, response of each write lost in turn, recognises its change")
{
    const int lost = GENERATE(1, 2, 3, 4);
    fake.loseWriteAnswers = lost;
    CHECK(applied(proposal(1, "c2", first + limit("c", 1))) == RulesApplyOutcome::Applied);
    CHECK(store.head().value()->version == RulesVersion(2));
}

TEST_CASE_METHOD(
    RulesStoreFixture, "RulesStore, head write response lost and table unreadable, returns unknown")
{
    before("write", rulesHeadKey, [this] {
        fake.loseWriteAnswers = 1;
        fake.failReads = 1;
    });
    const auto change = proposal(1, "c2", first + limit("c", 1));
    CHECK(applied(change) == RulesApplyOutcome::Unknown);
    CHECK(applied(change) == RulesApplyOutcome::Applied);
    CHECK(store.head().value()->version == RulesVersion(2));
}

TEST_CASE_METHOD(
    RulesStoreFixture, "RulesStore, every head write lost before it reaches the table, returns unknown")
{
    before("write", rulesHeadKey, [this] { fake.loseWrites = 1000; });
    CHECK(applied(proposal(1, "c2", first + limit("c", 1))) == RulesApplyOutcome::Unknown);
    CHECK(store.head().value()->version == RulesVersion(1));
}

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, table down, returns not applied")
{
    fake.down = true;
    CHECK(applied(proposal(1, "c2", first + limit("c", 1))) == RulesApplyOutcome::NotApplied);
}

TEST_CASE_METHOD(
    RulesStoreFixture, "RulesStore, operator killed before the head is set to its row, is never read")
{
    before("write", rulesHeadKey, [] { throw std::runtime_error("killed"); });
    CHECK_THROWS(store.apply(proposal(1, "c2", first + limit("dead", 1))));
    CHECK(fake.rows().count(rulesChangeKey(RulesVersion(2), WriterId("c2"))) == 1);
    CHECK_FALSE(store.newerThan(RulesVersion(1)).value().has_value());
    CHECK(applied(proposal(1, "c3", first + limit("c", 1))) == RulesApplyOutcome::Applied);
    CHECK(textInForce() == first + limit("c", 1));
}

TEST_CASE_METHOD(RulesStoreFixture, "RulesStore, base that is not in the history, is rejected")
{
    CHECK(applied(proposal(7, "c2", first)) == RulesApplyOutcome::UnknownBase);
    CHECK(applied(proposal(0, "c3", first + limit("c", 1))) == RulesApplyOutcome::UnknownBase);
    CHECK(applied(proposal(1, "c4", first)) == RulesApplyOutcome::Unchanged);
}
