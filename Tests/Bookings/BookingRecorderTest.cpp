#include "Bookings/BookingRecorder.h"
#include "Core/ErrorInfo.h"
#include "Core/RandomSource.h"

#include "Support/FakeTable.h"
#include "Support/Property.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace almondscale;
using almondscale::test::FakeTable;

namespace {

const BookingAnswer booked { 201, "application/json", "{\"booking\":1}" };

// A recorder on an in-memory table.
struct BookingRecorderFixture {
    FakeTable fake;
    std::set<HostId> gone;
    BookingRecorder recorder { fake.table(),
        [this](const HostId& host, Incarnation) { return gone.count(host) == 0; } };
    BookingRequest request { Organisation("depot"), ServiceName("desk"), BookingKey("k/1"), 11 };
    int attempts = 0;

    BookingHolder holder(const std::string& host)
    {
        return { AttemptId(host + "-" + std::to_string(++attempts)), HostId(host), Incarnation(1) };
    }

    ErrorKind refusal(const std::string& host)
    {
        const auto result = recorder.claim(request, holder(host));
        REQUIRE(result.kind == BookingClaimResult::Kind::Refused);
        return result.error;
    }

    BookingHolder claimed(const std::string& host)
    {
        auto claimer = holder(host);
        REQUIRE(recorder.claim(request, claimer).kind == BookingClaimResult::Kind::Send);
        return claimer;
    }
};

} // namespace

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, key repeated after the answer, returns the stored answer")
{
    recorder.answered(request, claimed("a"), booked);
    const auto again = recorder.claim(request, holder("b"));
    CHECK(again.kind == BookingClaimResult::Kind::Answered);
    CHECK(again.answer == booked);
}

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, key repeated before the answer, is refused as in progress")
{
    claimed("a");
    CHECK(refusal("b") == ErrorKind::BookingInProgress);
    gone.insert(HostId("a"));
    CHECK(refusal("b") == ErrorKind::BookingUnknown);
}

TEST_CASE_METHOD(BookingRecorderFixture, "BookingRecorder, answer of the service lost, stays unknown")
{
    recorder.lost(request, claimed("a"));
    CHECK(refusal("a") == ErrorKind::BookingUnknown);
    CHECK(refusal("b") == ErrorKind::BookingUnknown);
}

TEST_CASE_METHOD(BookingRecorderFixture, "BookingRecorder, attempt released as not sent, frees its key")
{
    recorder.released(request, claimed("a"));
    claimed("b");
}

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, key used for another call, is refused as a bad request")
{
    recorder.answered(request, claimed("a"), booked);
    request.fingerprint = 12;
    CHECK(refusal("b") == ErrorKind::BadRequest);
}

TEST_CASE_METHOD(BookingRecorderFixture, "BookingRecorder, same key in two organisations, makes two bookings")
{
    claimed("a");
    request.organisation = Organisation("other");
    claimed("b");
}

TEST_CASE_METHOD(BookingRecorderFixture, "BookingRecorder, table down, is refused as not recorded")
{
    fake.down = true;
    CHECK(refusal("a") == ErrorKind::BookingNotRecorded);
    CHECK(errorInfo(ErrorKind::BookingNotRecorded).execution == ExecutionStatus::NotRun);
    fake.down = false;
    recorder.retryOutcomeWrites();
    claimed("a");
}

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, answers of the first writes lost, still sends once")
{
    fake.loseWriteAnswers = GENERATE(1, 2);
    recorder.answered(request, claimed("a"), booked);
    CHECK(recorder.claim(request, holder("b")).kind == BookingClaimResult::Kind::Answered);
}

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, record applied before the table fails, frees the key later")
{
    fake.loseWriteAnswers = 1;
    fake.failReads = 100;
    CHECK(refusal("a") == ErrorKind::BookingNotRecorded);
    CHECK(recorder.pendingOutcomeWrites() == 1);
    fake.failReads = 0;
    CHECK(refusal("b") == ErrorKind::BookingInProgress);
    recorder.retryOutcomeWrites();
    CHECK(recorder.pendingOutcomeWrites() == 0);
    claimed("b");
}

TEST_CASE_METHOD(
    BookingRecorderFixture, "BookingRecorder, table down at the answer, records it when the table is back")
{
    const auto claimer = claimed("a");
    fake.down = true;
    recorder.answered(request, claimer, booked);
    CHECK(recorder.pendingOutcomeWrites() == 1);
    recorder.retryOutcomeWrites();
    CHECK(recorder.pendingOutcomeWrites() == 1);
    fake.down = false;
    recorder.retryOutcomeWrites();
    CHECK(recorder.claim(request, holder("b")).kind == BookingClaimResult::Kind::Answered);
}

TEST_CASE("BookingRecorder, random hosts, kills and lost answers, matches a single-copy reference")
{
    const bool held
        = test::propertyHolds("bookings against a single copy", 20263, 300, [](std::uint64_t seed) {
              const auto random = seededRandom(seed);
              FakeTable fake;
              fake.beforeCall = [&](const char*, const std::string&) {
                  const auto draw = uniformBelow(random, 12);
                  fake.loseWriteAnswers = draw == 0 ? 1 : 0;
                  fake.loseWrites = draw == 1 ? 1 : 0;
                  fake.failReads = draw == 2 ? 1 : 0;
                  fake.down = draw == 3;
              };
              std::set<HostId> gone;
              BookingRecorder recorder(
                  fake.table(), [&](const HostId& host, Incarnation) { return gone.count(host) == 0; });
              // The reference: for each key, how often the service ran it and what it answered.
              std::map<std::string, int> runs;
              std::map<std::string, std::string> answers;
              for (int i = 0; i < 60; ++i) {
                  const auto key = "k" + std::to_string(uniformBelow(random, 6));
                  const BookingRequest request { Organisation("o"), ServiceName("s"), BookingKey(key), 1 };
                  const HostId host("h" + std::to_string(i));
                  const BookingHolder holder { AttemptId(std::to_string(i)), host, Incarnation(1) };
                  const auto result = recorder.claim(request, holder);
                  if (result.kind == BookingClaimResult::Kind::Answered)
                      RC_ASSERT(result.answer.body == answers.at(key));
                  if (result.kind == BookingClaimResult::Kind::Refused && runs[key] == 0) {
                      // A first attempt meets neither an answer nor a call that was sent.
                      RC_ASSERT(result.error != ErrorKind::BadRequest);
                  }
                  if (result.kind != BookingClaimResult::Kind::Send)
                      continue;
                  const auto end = uniformBelow(random, 4);
                  if (end == 3) {
                      recorder.released(request, holder);
                      continue;
                  }
                  RC_ASSERT(++runs[key] == 1);
                  if (end == 0)
                      gone.insert(host);
                  if (end == 1)
                      recorder.lost(request, holder);
                  if (end == 2) {
                      answers[key] = "answer " + std::to_string(i);
                      recorder.answered(request, holder, { 201, "text/plain", answers[key] });
                  }
                  recorder.retryOutcomeWrites();
              }
          });
    CHECK(held);
}
