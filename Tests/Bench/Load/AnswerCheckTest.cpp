#include "Load/AnswerCheck.h"

#include "StandIns/AnswerToken.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

class AnswerCheckFixture {
protected:
    static std::string event(const std::string& text)
    {
        return R"(data: {"id":"1","object":"text_completion","choices":[{"index":0,"text":")" + text
            + "\"}]}";
    }

    void token(std::uint64_t index) { m_check.onLine(event(" " + standin::answerToken("prompt", index))); }

    AnswerCheck m_check { "prompt", 3 };
};

} // namespace

TEST_CASE_METHOD(AnswerCheckFixture, "Answer, with every token and the end mark, is complete", "[load]")
{
    for (std::uint64_t i = 0; i < 3; ++i) {
        token(i);
        m_check.onLine("");
    }
    m_check.onLine(event(""));
    m_check.onLine("data: [DONE]");
    m_check.onEnd();
    CHECK(m_check.complete());
}

TEST_CASE_METHOD(
    AnswerCheckFixture, "Answer, with a token missing, doubled or of another prompt, is faulty", "[load]")
{
    token(0);
    SECTION("missing") { token(2); }
    SECTION("doubled") { token(0); }
    SECTION("of another prompt") { m_check.onLine(event(" " + standin::answerToken("other", 1))); }
    CHECK(m_check.fault());
}

TEST_CASE_METHOD(
    AnswerCheckFixture, "Answer, that ends early, is faulty with or without the end mark", "[load]")
{
    token(0);
    SECTION("with it") { m_check.onLine("data: [DONE]"); }
    SECTION("without it") { }
    m_check.onEnd();
    CHECK(m_check.fault());
    CHECK_FALSE(m_check.complete());
}

TEST_CASE_METHOD(AnswerCheckFixture, "Answer, that goes on after its end mark, is faulty", "[load]")
{
    for (std::uint64_t i = 0; i < 3; ++i)
        token(i);
    m_check.onLine("data: [DONE]");
    token(3);
    CHECK_FALSE(m_check.complete());
}

TEST_CASE_METHOD(AnswerCheckFixture, "Error, told in mid-answer, is a refusal and no fault", "[load]")
{
    token(0);
    m_check.onLine(R"(data: {"error":{"kind":"deadline_passed","message":"late","run":"unknown"}})");
    m_check.onEnd();
    CHECK(m_check.refusal() == std::string("deadline_passed"));
    CHECK_FALSE(m_check.fault());
    CHECK_FALSE(m_check.complete());
}
