#include "Dispatch/AnswerAssembler.h"

#include "Core/RandomSource.h"
#include "Support/Property.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace almondscale;
using test::propertyHolds;

namespace {

using Tokens = std::vector<std::string>;

Tokens answer(const std::string& name, std::size_t length)
{
    Tokens tokens;
    for (std::size_t i = 0; i < length; ++i)
        tokens.push_back(name + std::to_string(i));
    return tokens;
}

StreamItem token(const AttemptId& attempt, const Tokens& tokens, std::uint64_t index)
{
    return { attempt, index, tokens[index], false, 0 };
}

StreamItem end(const AttemptId& attempt, const Tokens& tokens)
{
    return { attempt, 0, "", true, tokens.size() };
}

// Feeds an assembler from several attempts over a simulated unreliable transport.
class AssemblerFixture {
public:
    AssemblerFixture(std::uint64_t seed, Tokens answer)
        : m_random(seededRandom(seed))
        , m_answer(std::move(answer))
    {
    }

    AttemptId begin()
    {
        AttemptId attempt("a" + std::to_string(++m_attempts));
        m_offset = m_assembler.begin(attempt);
        return attempt;
    }

    void feed(const StreamItem& item)
    {
        for (const auto& token : m_assembler.accept(item).tokens)
            m_caller.push_back(token);
    }

    // Feeds a part of the attempt's stream with reordered and duplicated items, mixed with items
    // of earlier attempts and of other answers.
    void feedUnreliably(const AttemptId& attempt, const Tokens& source)
    {
        std::vector<StreamItem> items;
        const auto length = source.size();
        const auto last = m_offset + uniformBelow(m_random, length - m_offset + 1);
        for (auto index = m_offset; index < last; ++index) {
            items.push_back(token(attempt, source, index));
            if (uniformBelow(m_random, 4) == 0)
                items.push_back(token(attempt, source, index));
        }
        for (std::size_t i = 0; i + 1 < items.size(); ++i) {
            if (uniformBelow(m_random, 4) == 0)
                std::swap(items[i], items[i + 1]);
        }
        for (const auto& item : items) {
            if (uniformBelow(m_random, 3) == 0)
                feedUnrelated(length);
            feed(item);
        }
    }

    void feedUnrelated(std::size_t length)
    {
        const auto index = uniformBelow(m_random, length);
        feed({ AttemptId("other"), index, "stranger", false, 0 });
        feed({ AttemptId("a" + std::to_string(m_attempts - 1)), index, "late", false, 0 });
        feed({ AttemptId("other"), 0, "", true, index });
    }

    void finish(const AttemptId& attempt)
    {
        for (auto index = m_offset; index < m_answer.size(); ++index)
            feed(token(attempt, m_answer, index));
        feed(end(attempt, m_answer));
    }

    RandomSource m_random;
    Tokens m_answer;
    AnswerAssembler m_assembler;
    Tokens m_caller;
    std::uint64_t m_offset = 0;
    std::uint64_t m_attempts = 0;
};

bool isPrefix(const Tokens& part, const Tokens& whole)
{
    return part.size() <= whole.size() && std::equal(part.begin(), part.end(), whole.begin());
}

} // namespace

TEST_CASE("AnswerAssembler, any loss, duplication or reordering, releases every token once and in order")
{
    const bool held
        = propertyHolds("broken streams give every token once and in order", 1, 1000, [](std::uint64_t seed) {
              const std::size_t length = 1 + seed % 40;
              AssemblerFixture fixture(seed, answer("w", length));
              const auto breaks = uniformBelow(fixture.m_random, 5);
              for (std::uint64_t i = 0; i < breaks; ++i) {
                  fixture.feedUnreliably(fixture.begin(), fixture.m_answer);
                  RC_ASSERT(isPrefix(fixture.m_caller, fixture.m_answer));
                  RC_ASSERT(fixture.m_assembler.state() == AnswerState::Running);
              }
              fixture.finish(fixture.begin());
              RC_ASSERT(fixture.m_caller == fixture.m_answer);
              RC_ASSERT(fixture.m_assembler.state() == AnswerState::Complete);
          });
    CHECK(held);
}

TEST_CASE("AnswerAssembler, attempts with different answers, are never joined into one answer")
{
    const bool held = propertyHolds("differing answers are never mixed", 1, 1000, [](std::uint64_t seed) {
        const std::size_t length = 1 + seed % 40;
        AssemblerFixture fixture(seed, answer("w", length));
        const Tokens other = answer("v", 1 + (seed >> 8) % 40);
        fixture.feedUnreliably(fixture.begin(), fixture.m_answer);
        const bool begun = !fixture.m_caller.empty();
        fixture.m_answer = other;
        const auto attempt = fixture.begin();
        if (fixture.m_offset < other.size())
            fixture.feedUnreliably(attempt, other);
        fixture.finish(attempt);
        if (!begun) {
            RC_ASSERT(fixture.m_caller == other);
            return;
        }
        RC_ASSERT(isPrefix(fixture.m_caller, answer("w", length)));
        RC_ASSERT(fixture.m_assembler.state() == AnswerState::Conflict);
    });
    CHECK(held);
}

TEST_CASE("AnswerAssembler, a truncated stream, is not complete until the rest has been received")
{
    AssemblerFixture fixture(1, answer("w", 12));
    const auto attempt = fixture.begin();
    for (std::uint64_t index = 0; index < 10; ++index)
        fixture.feed(token(attempt, fixture.m_answer, index));
    fixture.feed(end(attempt, fixture.m_answer));
    CHECK(fixture.m_assembler.state() == AnswerState::Running);
    CHECK(fixture.m_assembler.resumeOffset() == 2);
    // The same attempt is resumed on another connection.
    for (std::uint64_t index = 2; index < 12; ++index)
        fixture.feed(token(attempt, fixture.m_answer, index));
    CHECK(fixture.m_assembler.state() == AnswerState::Complete);
    CHECK(fixture.m_caller == fixture.m_answer);
}
