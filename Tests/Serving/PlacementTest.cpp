#include "Serving/Placement.h"

#include "ServingFixtures.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

class PlacementFixture {
public:
    PlacementFixture()
        : placement(table, DataCentre("a"))
    {
        for (int i = 0; i < 7; ++i)
            table.put(engineRecord(
                "p" + std::to_string(i), EngineRole::Prefill, "a", static_cast<std::uint16_t>(i + 1)));
        table.put(engineRecord("d0", EngineRole::Decode, "a", 20));
        table.put(engineRecord("d1", EngineRole::Decode, "b", 21));
        spec.slots = 64;
        spec.memory = TokenCount(430000);
        prompt.tokens = TokenCount(17000);
        prompt.prefixTokens = TokenCount(13000);
        prompt.prefixHash = 77;
    }

    BackendId prefillFor(const PromptShape& shape, const Placement::Excluded& excluded = {}) const
    {
        const auto choice
            = placement.choosePrefill(model, shape, excluded, Deadline(testStart + 650ms), testStart);
        REQUIRE(choice);
        return choice->backend;
    }

    BackendTable table;
    Placement placement;
    EngineSpec spec;
    PromptShape prompt;
};

} // namespace

TEST_CASE_METHOD(
    PlacementFixture, "Prompts with the same prefix, placed one after the other, go to one engine")
{
    const auto home = prefillFor(prompt);
    table.open(home, BackendLoad { 100, 0, 0 });
    CHECK(prefillFor(prompt) == home);
}

TEST_CASE_METHOD(PlacementFixture,
    "Prompt, at engines that started after this host, is expected to be prefilled as a whole")
{
    PlacementOptions options;
    options.warmBeforeMs = 5000;
    const auto expectedMs = [&](std::int64_t startedAtMs) {
        for (const auto& entry : std::map<BackendId, Backend>(table.all())) {
            auto record = entry.second.record;
            record.startedAtMs = startedAtMs;
            table.put(record);
        }
        const Deadline targetTime(testStart + 650ms);
        return Placement(table, DataCentre("a"), options)
            .choosePrefill(model, prompt, {}, targetTime, testStart)
            ->expectedMs;
    };
    const double warm = expectedMs(4000);
    CHECK(warm < 200);
    CHECK(expectedMs(6000) > 2 * warm);
    table.noteSentPrefix(prefillFor(prompt), prompt.prefixHash, testStart);
    CHECK(expectedMs(6000) < 200);
}

TEST_CASE_METHOD(PlacementFixture, "Prompt, late at its prefix's engine, goes to another")
{
    const auto home = prefillFor(prompt);
    table.open(home, BackendLoad { 2000, 0, 0 });
    CHECK(prefillFor(prompt) != home);
}

TEST_CASE_METHOD(PlacementFixture, "Prompt, refused by its prefix's engine, goes to another")
{
    const auto home = prefillFor(prompt);
    CHECK(prefillFor(prompt, { home }) != home);
}

TEST_CASE_METHOD(
    PlacementFixture, "Prompt, decoded after a prefill, stays in that data centre while it has room")
{
    const StreamRequirements needs { 20, 300, Deadline::after(testStart, std::chrono::seconds(1)) };
    const auto decodeFor = [&](const char* dataCentre) {
        return placement.chooseDecode(model, spec, prompt, needs, DataCentre(dataCentre), {}, testStart)
            ->backend;
    };
    CHECK(decodeFor("a") == BackendId("d0"));
    CHECK(decodeFor("b") == BackendId("d1"));
    table.open(BackendId("d0"), BackendLoad { 0, 25, 420000 });
    CHECK(decodeFor("a") == BackendId("d1"));
}

TEST_CASE_METHOD(
    PlacementFixture, "Stream, too late for a slot under overload, yields to one that is in time")
{
    const double holdMs = 640;
    const auto decodeWithin = [&](Nanoseconds left) {
        const StreamRequirements needs { 20, holdMs, Deadline(testStart + left) };
        return *placement.chooseDecode(model, spec, prompt, needs, DataCentre("a"), {}, testStart);
    };
    for (const auto* id : { "d0", "d1" })
        table.open(BackendId(id), BackendLoad { 0, spec.slots - 1, 0 });
    CHECK_FALSE(decodeWithin(0ms).deferred);
    for (const auto* id : { "d0", "d1" })
        table.open(BackendId(id), BackendLoad { 0, 20, 0 });
    CHECK(decodeWithin(100ms).deferred);
    CHECK(decodeWithin(100ms).expectedMs == Approx(220));
    CHECK_FALSE(decodeWithin(300ms).deferred);
    for (const auto* id : { "d0", "d1" }) {
        for (int i = 0; i < 40; ++i)
            table.open(BackendId(id), decodeWithin(0ms).streamLoad(TokenCount(0)));
    }
    CHECK_FALSE(decodeWithin(300ms).deferred);
    CHECK(decodeWithin(300ms).expectedMs == Approx(220));
}

TEST_CASE_METHOD(
    PlacementFixture, "Stream, with request limits known from refusals, goes only to engines below them")
{
    const StreamRequirements needs { 20, 300, Deadline::after(testStart, std::chrono::seconds(1)) };
    const auto decode
        = [&] { return placement.chooseDecode(model, spec, prompt, needs, DataCentre("a"), {}, testStart); };
    const auto refuseAt = [&](const char* id, int requests) {
        table.open(BackendId(id), BackendLoad { 0, requests, 0 });
        table.noteOutcome(BackendId(id), BackendOutcome::Refused, testStart);
    };
    refuseAt("d0", 81);
    CHECK(decode()->backend == BackendId("d1"));
    refuseAt("d1", 101);
    CHECK_FALSE(decode());
    table.close(BackendId("d1"), BackendLoad { 0, 2, 0 });
    REQUIRE(decode());
    CHECK(decode()->backend == BackendId("d1"));
}

TEST_CASE_METHOD(PlacementFixture, "Streams of many hosts, with load reports late, are spread")
{
    constexpr int streams = 200;
    constexpr int engines = 40;
    for (int i = 0; i < engines; ++i)
        table.put(engineRecord("m" + std::to_string(i), EngineRole::Decode, i % 2 == 0 ? "a" : "b",
            static_cast<std::uint16_t>(100 + i)));
    for (const char* id : { "d0", "d1" })
        table.open(BackendId(id), BackendLoad { 0, 200, 0 });
    PlacementOptions options;
    options.hosts = [] { return 80; };
    const Placement ofMany(table, DataCentre("a"), options);
    const StreamRequirements needs { 20, 300, Deadline::after(testStart, 1s) };
    std::map<BackendId, int> chosen;
    for (int i = 0; i < streams; ++i)
        ++chosen[ofMany.chooseDecode(model, spec, prompt, needs, DataCentre("a"), {}, testStart)->backend];
    int most = 0;
    for (const auto& entry : chosen)
        most = std::max(most, entry.second);
    // The local data centre has half of the engines.
    CHECK(most < 4 * streams / (engines / 2));
    CHECK(chosen.size() >= engines / 4);
    // The busy engines are passed over where a drawn one is free.
    CHECK(chosen[BackendId("d0")] + chosen[BackendId("d1")] < streams / 10);
}

TEST_CASE_METHOD(PlacementFixture, "Request for a plain service, placed among busy servers, takes a free one")
{
    auto record = engineRecord("s0", EngineRole::Decode, "a", 30);
    record.role.reset();
    record.service = ServiceName("desk");
    record.slots = 6;
    table.put(record);
    record.id = BackendId("s1");
    record.address.port = 9090;
    record.dataCentre = DataCentre("b");
    table.put(record);
    const auto placed = [&] { return placement.choosePlain(ServiceName("desk"), {}, testStart)->backend; };
    CHECK(placed() == BackendId("s0"));
    table.open(BackendId("s0"), BackendLoad { 0, 12, 0 });
    CHECK(placed() == BackendId("s1"));
    CHECK_FALSE(placement.choosePlain(ServiceName("none"), {}, testStart));
}

TEST_CASE_METHOD(PlacementFixture,
    "Short prompt is prefilled by a decode engine with room, a long one or one more than its streams can "
    "wait for is not")
{
    PromptShape question;
    question.tokens = TokenCount(400);
    const auto direct = [&] { return placement.chooseDirect(model, spec, question, 150ms, {}, testStart); };
    REQUIRE(direct());
    CHECK(direct()->backend == BackendId("d0"));
    // Streams that would be stalled raise the cost.
    const double idleMs = direct()->expectedMs;
    table.open(BackendId("d0"), BackendLoad { 0, 30, 50000 });
    table.open(BackendId("d1"), BackendLoad { 0, 30, 50000 });
    CHECK(direct()->expectedMs > idleMs + 20);
    // Three such prompts at a time would stall the streams for longer than their callers allow.
    table.open(BackendId("d0"), BackendLoad { 40, 0, 0 });
    CHECK(direct()->backend == BackendId("d1"));
    table.open(BackendId("d1"), BackendLoad { 0, 34, 50000 });
    CHECK_FALSE(direct());
    table.close(BackendId("d1"), BackendLoad { 0, 34, 50000 });
    question.tokens = TokenCount(4000);
    CHECK_FALSE(direct());
}

TEST_CASE_METHOD(PlacementFixture,
    "Prompt whose KV cache takes long to transfer stays in its data centre at a load at which a small one "
    "leaves it")
{
    const StreamRequirements needs { 20, 300, Deadline::after(testStart, 1s) };
    const auto decodeFor = [&](const PromptShape& shape) {
        return placement.chooseDecode(model, spec, shape, needs, DataCentre("a"), {}, testStart)->backend;
    };
    table.open(BackendId("d0"), BackendLoad { 0, 20, 0 });
    spec.bytesPerToken = ByteCount(163840);
    spec.bytesPerMs = 46e6;
    PromptShape small;
    small.tokens = TokenCount(200);
    CHECK(decodeFor(small) == BackendId("d1"));
    CHECK(decodeFor(prompt) == BackendId("d0"));
}

TEST_CASE_METHOD(PlacementFixture, "Slow engine is the home of fewer prefixes, and the homes at others stay")
{
    std::map<BackendId, int> before;
    std::map<std::uint64_t, BackendId> homes;
    for (std::uint64_t prefix = 1; prefix <= 700; ++prefix) {
        prompt.prefixHash = prefix;
        homes[prefix] = prefillFor(prompt);
        ++before[homes[prefix]];
    }
    const BackendId slow("p2");
    table.setFactors(slow, { 2, 2, 2, 2 });
    int at = 0;
    int moved = 0;
    for (const auto& [prefix, home] : homes) {
        prompt.prefixHash = prefix;
        const auto now = prefillFor(prompt);
        at += now == slow ? 1 : 0;
        moved += now != home && home != slow ? 1 : 0;
    }
    CHECK(at < 0.75 * before[slow]);
    CHECK(at > 0.25 * before[slow]);
    CHECK(moved == 0);
}

TEST_CASE_METHOD(PlacementFixture, "Prompt without a prefix goes to the engine where it completes first")
{
    PromptShape question;
    question.tokens = TokenCount(2000);
    for (int i = 0; i < 7; ++i)
        table.setFactors(
            BackendId("p" + std::to_string(i)), { i == 0 ? 0.6 : 1.6, 1, i == 0 ? 0.6 : 1.6, 1 });
    // Some work ahead on the fast engine is done before the prompt alone would be on a slow one.
    table.open(BackendId("p0"), BackendLoad { 40, 0, 0 });
    CHECK(prefillFor(question) == BackendId("p0"));
    table.open(BackendId("p0"), BackendLoad { 200, 0, 0 });
    CHECK(prefillFor(question) != BackendId("p0"));
}
