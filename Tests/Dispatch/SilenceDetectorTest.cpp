#include "Dispatch/SilenceDetector.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { 100s };

// A connection that received five tokens and then nothing until the status query.
class SilenceFixture {
public:
    SilenceFixture()
        : detector(SilenceOptions {}, start)
    {
        detector.onProgress(5, start);
        REQUIRE(detector.check(start + 499ms) == SilenceAction::Wait);
        REQUIRE(detector.check(start + 500ms) == SilenceAction::Query);
    }

    SilenceAction answer(AttemptStatus::Kind kind, std::uint64_t tokens)
    {
        return detector.onStatus({ kind, tokens }, start + 510ms);
    }

    SilenceDetector detector;
};

} // namespace

TEST_CASE_METHOD(
    SilenceFixture, "SilenceDetector, generated tokens not received, resumes the attempt on a new connection")
{
    CHECK(answer(AttemptStatus::Kind::Running, 6) == SilenceAction::Resume);
}

TEST_CASE_METHOD(SilenceFixture,
    "SilenceDetector, end of the answer not received, resumes the attempt on a new connection")
{
    CHECK(answer(AttemptStatus::Kind::Done, 5) == SilenceAction::Resume);
}

TEST_CASE_METHOD(SilenceFixture, "SilenceDetector, a slow engine, is waited for and queried again")
{
    CHECK(answer(AttemptStatus::Kind::Running, 5) == SilenceAction::Wait);
    CHECK(detector.nextCheck() == start + 1010ms);
    CHECK(detector.check(start + 1010ms) == SilenceAction::Query);
}

TEST_CASE_METHOD(SilenceFixture, "SilenceDetector, an engine that does not know the attempt, restarts it")
{
    CHECK(answer(AttemptStatus::Kind::Unknown, 0) == SilenceAction::Restart);
}

TEST_CASE_METHOD(SilenceFixture, "SilenceDetector, no answer on the second connection, restarts the attempt")
{
    CHECK(detector.check(start + 999ms) == SilenceAction::Wait);
    CHECK(detector.check(start + 1000ms) == SilenceAction::Restart);
}

TEST_CASE_METHOD(SilenceFixture, "SilenceDetector, progress after the query, makes its answer be ignored")
{
    detector.onProgress(6, start + 505ms);
    CHECK(answer(AttemptStatus::Kind::Running, 9) == SilenceAction::Wait);
    CHECK(detector.nextCheck() == start + 1005ms);
}
