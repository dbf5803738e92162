#include "StandIns/EngineCore.h"

#include "StandIns/AnswerToken.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::standin;
using namespace std::chrono_literals;

namespace {

class EngineCoreFixture {
protected:
    EngineCore& engine()
    {
        if (!m_engine)
            m_engine = std::make_unique<EngineCore>(
                m_settings, [this] { return m_now; }, 100);
        return *m_engine;
    }

    static AttemptRequest request(const std::string& id, const std::string& prompt, std::int64_t tokens)
    {
        AttemptRequest request;
        request.attempt = AttemptId(id);
        request.model = ModelName("model");
        request.prompt = prompt;
        request.maxTokens = TokenCount(tokens);
        return request;
    }

    static std::string words(int count, const std::string& word)
    {
        std::string text;
        for (int i = 0; i < count; ++i)
            text += word + std::to_string(i) + " ";
        return text;
    }

    static EngineOrder roleOrder(std::uint64_t number, std::uint64_t fencing, const std::string& role)
    {
        return { OrderNumber(number), FencingToken(fencing), "role", role };
    }

    AttemptState stateOf(const std::string& id)
    {
        return engine().progress(AttemptId(id), TokenCount(0))->state;
    }

    std::int64_t made(const std::string& id)
    {
        return engine().progress(AttemptId(id), TokenCount(0))->made.count();
    }

    void pass(Nanoseconds time)
    {
        m_now += time;
        engine().advance();
    }

    // A clock in the middle of its range, as after some uptime.
    MonotonicTime m_now { 1000s };
    EngineSettings m_settings;

private:
    std::unique_ptr<EngineCore> m_engine;
};

} // namespace

TEST_CASE_METHOD(
    EngineCoreFixture, "Attempt, run to its end, has the tokens that any engine makes", "[engine]")
{
    REQUIRE(engine().submit(request("a", "split risk of lot 7", 4)) == SubmitOutcome::Accepted);
    CHECK(stateOf("a") == AttemptState::Queued);
    pass(1s);
    const auto progress = *engine().progress(AttemptId("a"), TokenCount(0));
    CHECK(progress.state == AttemptState::Done);
    REQUIRE(progress.tokens.size() == 4);
    for (std::uint64_t i = 0; i < 4; ++i)
        CHECK(progress.tokens[i] == answerToken("split risk of lot 7", i));
    CHECK(engine().stats().attempts.at(AttemptId("a")).runs == 1);
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Attempt, resumed at an offset, makes only the tokens from there", "[engine]")
{
    AttemptRequest resumed = request("a", "prompt", 10);
    resumed.offset = TokenCount(7);
    engine().submit(resumed);
    pass(1s);
    const auto progress = *engine().progress(AttemptId("a"), TokenCount(7));
    CHECK(progress.tokens.size() == 3);
    CHECK(progress.tokens.front() == answerToken("prompt", 7));
    CHECK(engine().stats().attempts.at(AttemptId("a")).tokens == 3);
}

TEST_CASE_METHOD(EngineCoreFixture, "Attempt, sent twice, is refused the second time", "[engine]")
{
    engine().submit(request("a", "prompt", 3));
    CHECK(engine().submit(request("a", "prompt", 3)) == SubmitOutcome::DuplicateAttempt);
    pass(1s);
    CHECK(engine().submit(request("a", "prompt", 3)) == SubmitOutcome::DuplicateAttempt);
}

TEST_CASE_METHOD(EngineCoreFixture, "Role, not fitting the phase, refuses the attempt", "[engine]")
{
    m_settings.role = EngineRole::Prefill;
    CHECK(engine().submit(request("a", "prompt", 3)) == SubmitOutcome::WrongRole);
    AttemptRequest prefill = request("b", "prompt", 3);
    prefill.phase = AttemptPhase::Prefill;
    CHECK(engine().submit(prefill) == SubmitOutcome::Accepted);
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Prefill, finished, leaves a cache that can be exported for a while", "[engine]")
{
    m_settings.role = EngineRole::Prefill;
    AttemptRequest prefill = request("a", words(100, "lot"), 3);
    prefill.phase = AttemptPhase::Prefill;
    engine().submit(prefill);
    pass(1s);
    const std::string handle = engine().progress(AttemptId("a"), TokenCount(0))->kvHandle;
    const auto cache = engine().exportKv(handle);
    REQUIRE(cache);
    CHECK(cache->tokens == TokenCount(100));
    CHECK(cache->promptHash == hashForKv(prefill.prompt));
    pass(60s);
    CHECK_FALSE(engine().exportKv(handle));
    CHECK(engine().loadReport().freeBlocks == m_settings.blocks);
}

TEST_CASE_METHOD(EngineCoreFixture, "Decode, with an imported cache, skips the prefill", "[engine]")
{
    m_settings.prefillTokensPerSecond = 100;
    AttemptRequest decode = request("a", words(1000, "lot"), 3);
    decode.phase = AttemptPhase::Decode;
    engine().submit(decode, KvCache { hashForKv(decode.prompt), TokenCount(1000) });
    engine().submit(request("b", words(1000, "other"), 3));
    pass(1s);
    CHECK(stateOf("a") == AttemptState::Done);
    CHECK(made("b") == 0);
}

TEST_CASE_METHOD(EngineCoreFixture, "Prompt, with a cached beginning, is prefilled from its end", "[engine]")
{
    m_settings.prefillTokensPerSecond = 1000;
    engine().submit(request("a", words(800, "lot"), 1));
    pass(700ms);
    CHECK(stateOf("a") == AttemptState::Running);
    pass(300ms);
    REQUIRE(stateOf("a") == AttemptState::Done);
    engine().submit(request("b", words(800, "lot") + "class of this lot", 1));
    pass(100ms);
    CHECK(stateOf("b") == AttemptState::Done);
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Queue, behind a full batch, goes by priority and then arrival", "[engine]")
{
    m_settings.maxRunning = 1;
    m_settings.decodeTokensPerSecond = 200;
    engine().submit(request("running", "p", 100));
    pass(10ms);
    engine().submit(request("low", "p", 100));
    AttemptRequest urgent = request("urgent", "p", 100);
    urgent.priority = Priority(5);
    engine().submit(urgent);
    engine().submit(request("later", "p", 100));
    pass(600ms);
    CHECK(stateOf("urgent") == AttemptState::Running);
    pass(500ms);
    CHECK(stateOf("low") == AttemptState::Running);
    CHECK(stateOf("later") == AttemptState::Queued);
}

TEST_CASE_METHOD(EngineCoreFixture, "Batch, decoding, shares the engine's speed evenly", "[engine]")
{
    m_settings.decodeTokensPerSecond = 100;
    for (int i = 0; i < 10; ++i)
        engine().submit(request("a" + std::to_string(i), "p", 100));
    pass(2s);
    std::int64_t total = 0;
    for (int i = 0; i < 10; ++i) {
        const std::int64_t tokens = made("a" + std::to_string(i));
        CHECK(tokens >= 19);
        CHECK(tokens <= 21);
        total += tokens;
    }
    CHECK(total <= 200);
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Memory, full, keeps attempts waiting and refuses what never fits", "[engine]")
{
    m_settings.blocks = BlockCount(10);
    m_settings.decodeTokensPerSecond = 200;
    CHECK(engine().submit(request("huge", words(200, "w"), 1)) == SubmitOutcome::Full);
    engine().submit(request("a", "p", 100));
    engine().submit(request("b", "q", 100));
    pass(50ms);
    CHECK(stateOf("a") == AttemptState::Running);
    CHECK(stateOf("b") == AttemptState::Queued);
    pass(2s);
    CHECK(stateOf("b") == AttemptState::Done);
}

TEST_CASE_METHOD(EngineCoreFixture, "Attempt, cancelled, stops and gives its memory back", "[engine]")
{
    m_settings.decodeTokensPerSecond = 100;
    engine().submit(request("a", "p", 1000));
    pass(100ms);
    REQUIRE(engine().cancel(AttemptId("a")));
    const std::int64_t before = made("a");
    pass(1s);
    CHECK(stateOf("a") == AttemptState::Cancelled);
    CHECK(made("a") == before);
    CHECK(engine().loadReport().freeBlocks == m_settings.blocks);
    CHECK_FALSE(engine().cancel(AttemptId("unknown")));
}

TEST_CASE_METHOD(EngineCoreFixture, "Load report, read before the lag has passed, shows the past", "[engine]")
{
    pass(1s);
    m_settings.loadLag = 200ms;
    REQUIRE(engine().loadReport().queued == 0);
    engine().submit(request("a", "p", 60000));
    CHECK(engine().loadReport().queued == 0);
    pass(100ms);
    CHECK(engine().loadReport().running == 0);
    pass(200ms);
    CHECK(engine().loadReport().running == 1);
    CHECK(engine().loadReport().decodeTokens.count() > 50000);
}

TEST_CASE_METHOD(EngineCoreFixture, "Cache events, told late, have a gap where some were lost", "[engine]")
{
    m_settings.eventLag = 500ms;
    engine().faults().dropEvents = 1;
    engine().submit(request("a", words(100, "first"), 1));
    pass(100ms);
    engine().submit(request("b", words(100, "second"), 1));
    pass(100ms);
    CHECK(engine().cacheEvents(0).empty());
    pass(500ms);
    const auto events = engine().cacheEvents(0);
    REQUIRE(events.size() == 1);
    CHECK(events[0].sequence == 2);
    CHECK(events[0].stored);
    CHECK(engine().cacheEvents(2).empty());
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Role change, ordered, takes its time and refuses attempts meanwhile", "[engine]")
{
    m_settings.roleChange = 2s;
    REQUIRE(engine().order(roleOrder(1, 5, "decode")) == OrderOutcome::Accepted);
    CHECK(engine().state().closing);
    CHECK(engine().submit(request("a", "p", 1)) == SubmitOutcome::ChangingRole);
    CHECK(engine().order(roleOrder(2, 5, "mixed")) == OrderOutcome::Busy);
    pass(1s);
    CHECK(engine().state().role == EngineRole::Mixed);
    pass(1s);
    CHECK(engine().state().role == EngineRole::Decode);
    CHECK(engine().state().order == OrderNumber(1));
    CHECK_FALSE(engine().state().closing);
}

TEST_CASE_METHOD(EngineCoreFixture, "Order, while attempts are in flight, is refused as busy", "[engine]")
{
    engine().submit(request("a", "p", 1000));
    CHECK(engine().order(roleOrder(1, 5, "decode")) == OrderOutcome::Busy);
    CHECK(engine().state().role == EngineRole::Mixed);
}

TEST_CASE_METHOD(EngineCoreFixture,
    "Order, with an old fencing number, is refused only by an engine that checks", "[engine]")
{
    m_settings.checksFencing = GENERATE(true, false);
    engine().order(roleOrder(1, 5, "decode"));
    pass(10s);
    const OrderOutcome late = engine().order(roleOrder(2, 4, "prefill"));
    pass(10s);
    if (m_settings.checksFencing) {
        CHECK(late == OrderOutcome::StaleFencing);
        CHECK(engine().state().role == EngineRole::Decode);
    } else {
        CHECK(late == OrderOutcome::Accepted);
        CHECK(engine().state().role == EngineRole::Prefill);
    }
    CHECK(engine().stats().orders.size() == 2);
}

TEST_CASE_METHOD(EngineCoreFixture,
    "Crash, in the middle of a role change, leaves the first role and nothing else", "[engine]")
{
    m_settings.downAfterCrash = 3s;
    engine().submit(request("a", "p", 1));
    pass(1s);
    engine().order(roleOrder(1, 5, "decode"));
    engine().crash();
    CHECK(engine().down());
    CHECK(engine().submit(request("b", "p", 1)) == SubmitOutcome::Down);
    pass(3s);
    CHECK_FALSE(engine().down());
    CHECK(engine().state().boot == 101);
    CHECK(engine().state().role == EngineRole::Mixed);
    CHECK(engine().state().fencing == FencingToken(0));
    CHECK_FALSE(engine().progress(AttemptId("a"), TokenCount(0)));
    CHECK(engine().stats().attempts.at(AttemptId("a")).runs == 1);
}

TEST_CASE_METHOD(
    EngineCoreFixture, "Prompt, that crashes the engine, takes the whole batch with it each time", "[engine]")
{
    engine().faults().crashOn = "poison";
    engine().submit(request("good", "p", 1000));
    engine().submit(request("bad", "some poison here", 1));
    pass(100ms);
    CHECK(engine().down());
    CHECK_FALSE(engine().progress(AttemptId("good"), TokenCount(0)));
    pass(10s);
    engine().submit(request("bad2", "some poison here", 1));
    pass(100ms);
    CHECK(engine().stats().crashes == 2);
}

TEST_CASE_METHOD(EngineCoreFixture, "Steps, slowed by a fault, make proportionally fewer tokens", "[engine]")
{
    m_settings.step = 5ms;
    m_settings.decodeTokensPerSecond = 10000;
    engine().faults().step = 50ms;
    engine().submit(request("a", "p", 1000));
    pass(1s);
    CHECK(made("a") <= 20);
    CHECK(made("a") >= 18);
}
