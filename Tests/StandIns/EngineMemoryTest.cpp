#include "StandIns/EngineMemory.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace almondscale::standin;

namespace {

constexpr std::int64_t blockTokens = 4;

class EngineMemoryFixture {
protected:
    static EngineAttempt attempt(const std::string& word, int words)
    {
        EngineAttempt attempt;
        for (int i = 0; i < words; ++i)
            attempt.request.prompt += word + std::to_string(i) + " ";
        attempt.hash = hashPrompt(attempt.request.prompt, blockTokens);
        return attempt;
    }

    // Holds, stores and releases, as an attempt that ran.
    bool run(const std::string& word, int words)
    {
        EngineAttempt ran = attempt(word, words);
        if (!m_memory.hold(ran, m_now))
            return false;
        m_memory.storePrompt(ran, m_now);
        m_memory.release(ran);
        return true;
    }

    std::vector<CacheEvent> events() const { return m_memory.events(0, m_now); }

    MonotonicTime m_now {};
    EngineMemory m_memory { 10, blockTokens, Nanoseconds(0), [] { return false; } };
};

} // namespace

TEST_CASE_METHOD(
    EngineMemoryFixture, "Prefix cache, short of room, evicts the least recently used", "[engine]")
{
    REQUIRE(run("a", 20));
    REQUIRE(run("b", 20));
    REQUIRE(run("a", 20));
    REQUIRE(run("c", 20));
    REQUIRE(events().size() == 4);
    CHECK(events()[3].prefix == hashPrompt(attempt("c", 20).request.prompt, blockTokens).prefix);
    CHECK_FALSE(events()[2].stored);
    CHECK(events()[2].prefix == hashPrompt(attempt("b", 20).request.prompt, blockTokens).prefix);
}

TEST_CASE_METHOD(EngineMemoryFixture, "Prefix, held by a running attempt, is not evicted", "[engine]")
{
    EngineAttempt running = attempt("a", 24);
    REQUIRE(m_memory.hold(running, m_now));
    m_memory.storePrompt(running, m_now);
    CHECK(m_memory.freeBlocks() == 4);
    CHECK_FALSE(run("b", 20));
    m_memory.release(running);
    CHECK(m_memory.freeBlocks() == 10);
    CHECK(run("b", 20));
}

TEST_CASE_METHOD(EngineMemoryFixture, "Two attempts, with one prompt, share its blocks", "[engine]")
{
    EngineAttempt first = attempt("a", 24);
    EngineAttempt second = attempt("a", 24);
    REQUIRE(m_memory.hold(first, m_now));
    m_memory.storePrompt(first, m_now);
    REQUIRE(m_memory.hold(second, m_now));
    m_memory.storePrompt(second, m_now);
    CHECK(m_memory.freeBlocks() == 4);
    m_memory.release(first);
    CHECK(m_memory.freeBlocks() == 4);
    m_memory.release(second);
    CHECK(m_memory.freeBlocks() == 10);
}

TEST_CASE("Prompt hash, of prompts that differ after some blocks, agrees up to there", "[engine]")
{
    const PrefixHash one = hashPrompt("a b c d e f g h  i", blockTokens);
    const PrefixHash two = hashPrompt("a b c d e f g x  i", blockTokens);
    REQUIRE(one.tokens == 9);
    REQUIRE(one.blocks.size() == 2);
    CHECK(one.blocks[0] == two.blocks[0]);
    CHECK(one.blocks[1] != two.blocks[1]);
}
