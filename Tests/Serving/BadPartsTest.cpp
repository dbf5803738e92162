#include "Serving/CrashRecords.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const PromptPartId bad { 0xbad };
const PromptPartId otherBad { 0xbad2 };
// The first part of every prompt.
const PromptPartId common { 1 };
const PromptPartId second { 2 };
const PromptPartId rare { 3 };

// A host whose requests run on servers that crash.
class BadPartsFixture {
public:
    // A request with a content that no other has.
    RequestSubjects request(std::vector<PromptPartId> parts)
    {
        return { Fingerprint(++contents), std::move(parts), PromptPartId(1000 + contents) };
    }

    // The requests run on a new server, sent with knowledge of all earlier crashes, when it crashes.
    void crash(const std::vector<RequestSubjects>& requests)
    {
        ServerEnd end;
        end.server = { BackendId("s" + std::to_string(++servers)), 1 };
        end.sentAt = now - 5ms;
        end.endedAt = now;
        std::vector<std::vector<int>> steps;
        steps.reserve(requests.size());
        for (const auto& each : requests)
            steps.push_back(records.nextSteps(each));
        for (std::size_t i = 0; i < requests.size(); ++i)
            records.noteEnd(requests[i], end, steps[i]);
        now += 1s;
    }

    void crashOn(std::vector<PromptPartId> parts) { crash({ request(std::move(parts)) }); }

    void answer(std::vector<PromptPartId> parts) { records.noteCompleted(request(std::move(parts)), now); }

    bool refused(std::vector<PromptPartId> parts)
    {
        return records.verdict(request(std::move(parts)), now).suspicion == Suspicion::Refuse;
    }

    static void sendRecords(const CrashRecords& from, CrashRecords& to)
    {
        std::uint64_t version = 0;
        for (const auto& record : from.changesSince(version, 10000))
            to.merge(record);
    }

    MonotonicTime now { 1h };
    CrashRecords records;
    int servers = 0;
    int contents = 0;
};

} // namespace

TEST_CASE_METHOD(
    BadPartsFixture, "Part, under which three servers crashed, is refused whatever else the prompt has")
{
    answer({ common, second });
    crashOn({ common, bad });
    crashOn({ common, bad, second });
    CHECK_FALSE(refused({ common, bad }));
    crashOn({ common, bad });
    CHECK(refused({ common, bad }));
    CHECK(refused({ bad }));
    CHECK(refused({ rare, bad, second }));
    CHECK_FALSE(refused({ common, second }));
    CHECK_FALSE(refused({ common }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Part, bad as the first of a prompt, is refused, and those behind it are not")
{
    answer({ common, second });
    for (int i = 0; i < 3; ++i)
        crashOn({ bad, second });
    CHECK(refused({ bad, second }));
    CHECK_FALSE(refused({ common, second }));
}

TEST_CASE_METHOD(BadPartsFixture, "Parts, bad behind one first part that nobody answered, are told from it")
{
    for (int i = 0; i < 3; ++i) {
        crash({ request({ common, bad }), request({ common, second }), request({ common, second }) });
        crash({ request({ common, otherBad }), request({ common, second }), request({ common, second }) });
    }
    CHECK(refused({ common, bad }));
    CHECK(refused({ common, otherBad }));
    CHECK_FALSE(refused({ common, second }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Parts that always came together, with none of them answered, are refused together only")
{
    for (int i = 0; i < 3; ++i)
        crashOn({ common, bad, second });
    CHECK(refused({ common, bad, second }));
    CHECK_FALSE(refused({ common, second }));
    answer({ common, second });
    CHECK(refused({ common, bad }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Part that everybody shares, with few answers between crashes, is never refused")
{
    answer({ common, second });
    for (int i = 0; i < 8; ++i) {
        crash({ request({ common, bad }), request({ common, second }), request({ common, second }) });
        CHECK_FALSE(refused({ common, second }));
        CHECK_FALSE(refused({ common }));
    }
    CHECK(refused({ common, bad }));
}

TEST_CASE_METHOD(BadPartsFixture, "Part of one request that is repeated, is not refused for its crashes")
{
    answer({ common });
    const auto repeated = request({ common, rare });
    for (int i = 0; i < 8; ++i)
        crash({ repeated });
    CHECK_FALSE(refused({ common, rare }));
    CHECK(records.verdict(repeated, now).suspicion == Suspicion::Refuse);
}

TEST_CASE_METHOD(
    BadPartsFixture, "Parts, run on a quarter of the servers that crash together twice, are not refused")
{
    for (int time = 0; time < 2; ++time) {
        std::vector<std::pair<RequestSubjects, std::vector<int>>> runs;
        for (int i = 0; i < 50; ++i) {
            auto made = request({ common, i % 2 == 0 ? second : rare });
            auto steps = records.nextSteps(made);
            runs.emplace_back(std::move(made), std::move(steps));
        }
        for (int i = 0; i < 50; ++i) {
            ServerEnd end;
            end.server = { BackendId("q" + std::to_string(time * 100 + i)), 1 };
            end.sentAt = now - 5ms;
            end.endedAt = now;
            records.noteEnd(runs[i].first, end, runs[i].second);
        }
        now += 5s;
    }
    CHECK(records.badParts().empty());
}

TEST_CASE_METHOD(
    BadPartsFixture, "Innocent part that shared three crashes with a bad one, is free once that is known")
{
    answer({ common });
    for (int i = 0; i < 3; ++i)
        crash({ request({ common, bad }), request({ common, rare }) });
    // Both explain the crashes equally well.
    CHECK_FALSE(refused({ common, rare }));
    CHECK_FALSE(refused({ common, bad }));
    crashOn({ common, bad });
    CHECK(refused({ common, bad }));
    CHECK_FALSE(refused({ common, rare }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Bad part, while another one cannot be told from an innocent one, is refused")
{
    answer({ common });
    for (int i = 0; i < 3; ++i) {
        crash({ request({ common, otherBad }), request({ common, rare }) });
        crashOn({ common, bad });
    }
    CHECK(refused({ common, bad }));
    CHECK_FALSE(refused({ common, otherBad }));
    CHECK_FALSE(refused({ common, rare }));
}

TEST_CASE_METHOD(BadPartsFixture, "Content that ran beside a bad part, is no suspect once that is known")
{
    answer({ common });
    const auto beside = request({ common, rare });
    crash({ request({ common, bad }), beside });
    crash({ request({ common, bad }), beside });
    CHECK(records.verdict(beside, now).suspicion == Suspicion::Isolate);
    crashOn({ common, bad });
    CHECK(records.verdict(beside, now).suspicion == Suspicion::None);
}

TEST_CASE_METHOD(BadPartsFixture, "Part that was answered at another host, is known to be sound here")
{
    CrashRecords other;
    other.noteCompleted(request({ common, rare }), now - 1s);
    for (int i = 0; i < 3; ++i) {
        crashOn({ common, rare });
        sendRecords(records, other);
        sendRecords(other, records);
    }
    CHECK_FALSE(refused({ common, rare }));
    other.noteCompleted(request({ common, rare }), now);
    sendRecords(other, records);
    CHECK(records.consecutiveEnds(rare) == 0);
}

TEST_CASE_METHOD(BadPartsFixture, "Times of answers, relayed late between hosts, do not circulate")
{
    CrashRecords other;
    other.noteCompleted(request({ common, second }), now - 1s);
    crashOn({ common, second });
    const auto relay = [](const CrashRecords& from, CrashRecords& to) {
        std::uint64_t version = 0;
        for (auto record : from.changesSince(version, 10000)) {
            if (record.answeredAt)
                *record.answeredAt += 400ms;
            to.merge(record);
        }
    };
    for (int i = 0; i < 3; ++i) {
        relay(records, other);
        relay(other, records);
    }
    const auto version = records.version();
    relay(records, other);
    relay(other, records);
    CHECK(records.version() == version);
}

TEST_CASE_METHOD(
    BadPartsFixture, "Bad part, past its refusal time, is tried once and served again if it is answered")
{
    for (int i = 0; i < 3; ++i)
        crashOn({ common, bad });
    now += CrashRecordOptions().refusalTime;
    const auto verdict = records.verdict(request({ common, bad }), now);
    CHECK(verdict.suspicion == Suspicion::Isolate);
    CHECK(verdict.subject.isPart);
    SECTION("it crashes one more server")
    {
        crashOn({ common, bad });
        CHECK(refused({ common, bad }));
    }
    SECTION("it is answered")
    {
        answer({ common, bad });
        CHECK(records.verdict(request({ common, bad }), now).suspicion == Suspicion::None);
    }
}

TEST_CASE_METHOD(
    BadPartsFixture, "Part that was sound before, is refused after five crashes without an answer")
{
    answer({ common, bad });
    now += 1s;
    for (int i = 0; i < 4; ++i)
        crashOn({ common, bad });
    CHECK_FALSE(refused({ common, bad }));
    crashOn({ common, bad });
    CHECK(refused({ common, bad }));
}

TEST_CASE_METHOD(BadPartsFixture, "Bad part and bad content at the same time, are both refused")
{
    answer({ common, second });
    const auto repeated = request({ common, second });
    for (int i = 0; i < 4; ++i) {
        crash({ repeated, request({ common, second }) });
        crash({ request({ common, bad }), request({ common, second }) });
        answer({ common, second });
    }
    CHECK(records.verdict(repeated, now).suspicion == Suspicion::Refuse);
    CHECK(refused({ common, bad }));
    CHECK_FALSE(refused({ common, second }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Records of parts, stored as rows and read by a host that starts later, are the same")
{
    for (int i = 0; i < 2; ++i)
        crashOn({ common, bad });
    CHECK(records.isSuspect(bad, now, 2));
    const auto row = encodeCrashRecord(*records.find(bad), now, 1000000);
    const auto record = decodeCrashRecord(row, now, 1000000);
    REQUIRE(record);
    CHECK(record->subject == CrashSubject(bad));
    CrashRecords restarted;
    restarted.merge(*record);
    std::swap(records, restarted);
    crashOn({ common, bad });
    CHECK(refused({ common, bad }));
}

TEST_CASE_METHOD(
    BadPartsFixture, "Caller who names thousands of new parts, evicts no bad one and uses bounded memory")
{
    for (int i = 0; i < 3; ++i)
        crashOn({ common, bad });
    for (int i = 0; i < 10000; ++i) {
        const int first = 100000 + 10 * i;
        std::vector<PromptPartId> parts { PromptPartId(first), PromptPartId(first + 1),
            PromptPartId(first + 2) };
        answer(parts);
        crashOn(std::move(parts));
    }
    CHECK(records.size() == CrashRecordOptions().maxRecords);
    CHECK(records.suspicion(bad, now) != Suspicion::None);
}

TEST_CASE("Prompt of a thousand parts, has each of them once as a subject, and its last part is its own")
{
    CallerRequest made;
    made.prompt.emplace();
    for (int i = 0; i < 1000; ++i)
        made.prompt->parts.emplace_back(i % 500);
    const auto subjects = subjectsOf(made);
    auto shared = subjects.sharedParts;
    std::sort(shared.begin(), shared.end());
    REQUIRE(shared.size() == 500);
    for (std::uint64_t i = 0; i < shared.size(); ++i)
        CHECK(shared[i] == PromptPartId(i));
    REQUIRE(subjects.ownPart);
    CHECK(*subjects.ownPart == PromptPartId(499));
}

namespace {

// The processor time that this process has used.
std::chrono::milliseconds processorTime()
{
    return std::chrono::milliseconds(1000 * std::clock() / CLOCKS_PER_SEC);
}

// 4.4 % of a core with a crash each second, the limit for control work on a host. Sanitizers slow the code
// down.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr auto crashTimeLimit = 44ms * 10;
#else
constexpr auto crashTimeLimit = 44ms;
#endif

// Prompts with as many parts as 16 KB of header fields can name.
class ManyPartsFixture : public BadPartsFixture {
public:
    static constexpr std::uint64_t partCount = 2800;

    std::vector<PromptPartId> manyParts(PromptPartId at, std::size_t place) const
    {
        std::vector<PromptPartId> parts;
        for (std::uint64_t i = 0; i < partCount; ++i)
            parts.emplace_back(0x10000 + i);
        parts.at(place) = at;
        return parts;
    }

    std::vector<PromptPartId> newParts(std::size_t count)
    {
        std::vector<PromptPartId> parts;
        for (std::size_t i = 0; i < count; ++i)
            parts.emplace_back(++lastNewPart);
        return parts;
    }

    std::uint64_t lastNewPart = 0x1000000;
};

} // namespace

// Guards against bad parts that are not seen because of their place in the prompt.
TEST_CASE_METHOD(
    ManyPartsFixture, "Part, bad in any place of a long prompt, is refused, and the others are not")
{
    for (const std::size_t place : { 0U, 66U, 1400U, 2799U }) {
        records = CrashRecords();
        answer(manyParts(second, place));
        for (int i = 0; i < 3; ++i)
            crashOn(manyParts(bad, place));
        CHECK(refused(manyParts(bad, place)));
        CHECK_FALSE(refused(manyParts(second, place)));
    }
}

TEST_CASE_METHOD(ManyPartsFixture,
    "Part, bad in prompts with a thousand new parts each, is refused, within bounds of memory and time")
{
    answer({ common, second });
    const auto before = processorTime();
    constexpr int crashes = 20;
    for (int i = 0; i < crashes; ++i) {
        auto parts = newParts(1000);
        parts[i * 37 % 1000] = bad;
        parts.front() = common;
        crashOn(parts);
        CHECK_FALSE(refused({ common, second }));
        answer({ common, second });
    }
    CHECK(refused({ common, bad }));
    CHECK(records.size() <= CrashRecordOptions().maxRecords);
    CHECK(processorTime() - before < crashes * crashTimeLimit);
}

TEST_CASE_METHOD(ManyPartsFixture, "Long prompts, under which many servers crash, use bounded memory")
{
    for (int i = 0; i < 12; ++i)
        crashOn(manyParts(bad, 1400));
    std::size_t ends = 0;
    for (const auto& subject : records.subjects())
        ends += records.find(subject)->ends.size();
    const CrashRecordOptions options;
    CHECK(ends < options.maxEnds + options.maxEndsPerRecord);
    CHECK(refused(manyParts(bad, 1400)));
}

TEST_CASE_METHOD(
    ManyPartsFixture, "Parts, shared and answered, stay known as sound beside a flood of new ones")
{
    for (int i = 0; i < 2; ++i)
        answer({ common, second });
    for (int i = 0; i < 60; ++i) {
        answer(newParts(1000));
        now += 1s;
    }
    // A part that is not known to be sound is refused after three.
    for (int i = 0; i < 4; ++i)
        crashOn({ common, second });
    CHECK_FALSE(refused({ common, second }));
}

TEST_CASE_METHOD(
    ManyPartsFixture, "Long prompts, none of whose parts were answered, are judged in bounded time")
{
    // Each prompt has a half of the parts of its own choice, so that few of them have the same crashes.
    for (std::uint64_t crash = 0; crash < 8; ++crash) {
        auto parts = manyParts(bad, 0);
        parts.erase(std::remove_if(parts.begin(), parts.end(),
                        [&](auto part) {
                            const bool inAll = (part.count() & 0xffU) == 0xffU;
                            return part != bad && (inAll || ((part.count() >> crash) & 1U) == 0);
                        }),
            parts.end());
        crashOn(parts);
    }
    const auto before = processorTime();
    CHECK(refused({ common, bad }));
    CHECK(processorTime() - before < crashTimeLimit);
    CHECK_FALSE(refused({ common, second }));
}
