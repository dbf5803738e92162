#include "Routing/Router.h"

#include <catch2/catch.hpp>
#include <set>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };
const ModelName model { "model" };
const DataCentre near { "near" };
const DataCentre far { "far" };

// A router with a few idle engines.
class RouterFixture {
public:
    RouterFixture()
        : router(options(), shortestExpectedWork(), seededRandom(1))
    {
    }

    static RouterOptions options()
    {
        RouterOptions options;
        options.dataCentre = near;
        return options;
    }

    void add(const char* id, EngineRole role = EngineRole::Mixed, const DataCentre& dataCentre = near)
    {
        EngineView view;
        view.id = EngineId(id);
        view.model = model;
        view.dataCentre = dataCentre;
        view.role = role;
        view.state = EngineAvailability::Open;
        views.push_back(view);
        router.setEngines(views);
    }

    void report(const char* id, std::int64_t prefillTokens, std::int64_t freeBlocks,
        std::uint64_t sequence = 1, MonotonicTime sampledAt = start)
    {
        LoadReport load;
        load.boot = 1;
        load.prefillTokens = TokenCount(prefillTokens);
        load.freeBlocks = BlockCount(freeBlocks);
        load.totalBlocks = BlockCount(4000);
        load.sequence = sequence;
        load.sampledAt = sampledAt;
        router.onLoadReport(EngineId(id), load);
    }

    static RouteRequest request()
    {
        RouteRequest request;
        request.model = model;
        request.promptTokens = TokenCount(2000);
        request.outputTokens = TokenCount(20);
        request.prefix = PrefixHash(7);
        request.prefixTokens = TokenCount(1500);
        return request;
    }

    // Routes one request, reports it as sent and returns the prefill engine.
    std::string send(MonotonicTime now = start)
    {
        const auto choice = router.choose(request(), now);
        REQUIRE(choice);
        const AttemptId attempt(std::to_string(++attempts));
        router.onSent(attempt, choice.value().prefill, choice.value().prefillTokens, TokenCount(20),
            PrefixHash(static_cast<std::uint64_t>(1000 + attempts)), now);
        return choice.value().prefill.text();
    }

    Router router;
    std::vector<EngineView> views;
    int attempts = 0;
};

} // namespace

TEST_CASE_METHOD(RouterFixture, "Router, attempts sent since the report, are added to its load")
{
    add("a");
    add("b");
    report("a", 0, 4000);
    report("b", 1000, 4000);
    CHECK(send() == "a");
    CHECK(send() == "b");
    CHECK(send() == "a");
}

TEST_CASE_METHOD(RouterFixture, "Router, a report sampled after the attempts, replaces what was added")
{
    add("a");
    add("b");
    report("a", 0, 4000);
    report("b", 1000, 4000);
    CHECK(send() == "a");
    report("a", 0, 4000, 2, start + 10ms);
    CHECK(send(start + 10ms) == "a");
}

TEST_CASE_METHOD(RouterFixture, "Router, no free memory, keeps the request queued at the host")
{
    add("a");
    report("a", 0, 200);
    CHECK(send() == "a");
    const auto second = router.choose(request(), start);
    CHECK(second.kind() == ErrorKind::QueueFull);
    router.onFinished(AttemptId("1"), EngineId("a"), start + 100ms);
    CHECK(router.choose(request(), start + 100ms));
}

TEST_CASE_METHOD(RouterFixture, "Router, engines that are not open or are excluded, get nothing")
{
    add("a");
    const auto state = GENERATE(EngineAvailability::Closing, EngineAvailability::Leaving,
        EngineAvailability::Dead, EngineAvailability::Unknown);
    views[0].state = state;
    router.setEngines(views);
    CHECK(router.choose(request(), start).kind() == ErrorKind::NoEngine);
    add("b");
    auto excluding = request();
    excluding.excluded.insert(EngineId("b"));
    CHECK(router.choose(excluding, start).kind() == ErrorKind::NoEngine);
    CHECK(send() == "b");
}

TEST_CASE_METHOD(RouterFixture, "Router, a deadline that no engine can meet, is reported as unreachable")
{
    add("a");
    auto hurried = request();
    hurried.deadline = Deadline::after(start, 700ms);
    // The prefill takes 250 ms and the decode 500 ms.
    CHECK(router.choose(hurried, start).kind() == ErrorKind::DeadlineUnreachable);
    hurried.deadline = Deadline::after(start, 800ms);
    CHECK(router.choose(hurried, start));
}

TEST_CASE_METHOD(
    RouterFixture, "Router, prefill and decode engines, get a phase each and the cache is transferred")
{
    add("p", EngineRole::Prefill);
    add("d", EngineRole::Decode);
    const auto choice = router.choose(request(), start);
    REQUIRE(choice);
    CHECK(choice.value().prefill == EngineId("p"));
    CHECK(choice.value().decode == EngineId("d"));
    CHECK(choice.value().movesCache());
    const EngineSpeed speed;
    const auto moving = std::chrono::duration<double>(2000 * speed.kvBytesPerToken / speed.kvBytesPerSecond);
    CHECK(choice.value().firstTokenAt >= start + 250ms + std::chrono::duration_cast<Nanoseconds>(moving));
    // A prefill engine alone cannot serve a request.
    views.pop_back();
    router.setEngines(views);
    CHECK(router.choose(request(), start).kind() == ErrorKind::NoEngine);
}

TEST_CASE_METHOD(RouterFixture, "Router, another data centre, is used only when reachable and clearly better")
{
    add("a");
    add("b", EngineRole::Mixed, far);
    report("a", 100, 4000);
    CHECK(send() == "a");
    report("a", 4000, 4000, 2);
    CHECK(send() == "b");
    views[1].reachable = false;
    router.setEngines(views);
    CHECK(send() == "a");
}

TEST_CASE_METHOD(
    RouterFixture, "Router, an engine that has cached the prefix, is preferred until it evicts it")
{
    add("a");
    add("b");
    report("a", 200, 4000);
    report("b", 0, 4000);
    router.onCacheEvents(EngineId("a"), { { 0, CacheEventKind::Stored, PrefixHash(7) } }, 1, start);
    const auto held = router.choose(request(), start);
    REQUIRE(held);
    CHECK(held.value().prefill == EngineId("a"));
    CHECK(held.value().prefillTokens == TokenCount(500));
    router.onCacheEvents(EngineId("a"), { { 1, CacheEventKind::Evicted, PrefixHash(7) } }, 2, start);
    CHECK(send() == "b");
}

TEST_CASE("Router, eight hosts with the same outdated report, do not all choose the same engine")
{
    std::set<EngineId> chosen;
    for (std::uint64_t host = 0; host < 8; ++host) {
        RouterFixture fixture;
        fixture.router = Router(RouterFixture::options(), prefixAffinity(), seededRandom(host));
        for (const char* id : { "a", "b", "c", "d", "e", "f" }) {
            fixture.add(id);
            fixture.report(id, id[0] == 'a' ? 0 : 500, 4000);
        }
        auto request = RouterFixture::request();
        request.prefix = PrefixHash(host);
        const auto choice = fixture.router.choose(request, start);
        REQUIRE(choice);
        chosen.insert(choice.value().prefill);
    }
    CHECK(chosen.size() >= 3);
}
