#include "Serving/CrashRecords.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

const Fingerprint culprit { 1 };
const Fingerprint bystander { 2 };

class CrashRecordsFixture {
public:
    static BackendLifetime server(int number) { return { BackendId("s" + std::to_string(number)), 1 }; }

    // The server terminates while running the content, which was sent knowing of all earlier terminations.
    void end(Fingerprint content, int number, bool apart = false)
    {
        const int step = records.nextStep(content);
        records.noteEnd(content, ended(number, step, apart));
    }

    ServerEnd ended(int number, int step = 0, bool apart = false) const
    {
        ServerEnd end;
        end.server = server(number);
        end.sentAt = now - 5ms;
        end.endedAt = now;
        end.step = step;
        end.apart = apart;
        return end;
    }

    Suspicion suspicion(Fingerprint content) const { return records.suspicion(content, now); }

    // Sends all records of one host to the other.
    static void sendRecords(const CrashRecords& from, CrashRecords& to)
    {
        std::uint64_t version = 0;
        for (const auto& record : from.changesSince(version, 10000))
            to.merge(record);
    }

    MonotonicTime now { 1h };
    CrashRecords records;
};

} // namespace

TEST_CASE_METHOD(
    CrashRecordsFixture, "Content, with three servers terminated one after the other, is refused")
{
    end(culprit, 1);
    CHECK(suspicion(culprit) == Suspicion::None);
    now += 1s;
    end(culprit, 2);
    CHECK(suspicion(culprit) == Suspicion::Isolate);
    now += 1s;
    end(culprit, 3, true);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Content, never run isolated, is refused after the fourth termination")
{
    for (int number = 1; number <= 3; ++number, now += 1s)
        end(culprit, number);
    CHECK(suspicion(culprit) == Suspicion::Isolate);
    end(culprit, 4);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Content, run at many servers that terminate together, has one consecutive termination")
{
    for (int number = 1; number <= 8; ++number) {
        records.noteEnd(bystander, { server(number), now - 100ms, now });
        now += 2ms;
    }
    CHECK(records.consecutiveEnds(bystander) == 1);
    CHECK(suspicion(bystander) == Suspicion::Isolate);
    end(bystander, 9, true);
    CHECK(suspicion(bystander) == Suspicion::Isolate);
    records.noteCompleted(bystander);
    CHECK(suspicion(bystander) == Suspicion::None);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Content, with one termination withdrawn, reaches three by two more")
{
    end(culprit, 1);
    end(culprit, 2);
    records.noteAlive(server(1), now);
    for (int number = 3; number <= 4; ++number)
        end(culprit, number, true);
    CHECK(records.consecutiveEnds(culprit) == 3);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
}

TEST_CASE_METHOD(
    CrashRecordsFixture, "Content that ran to completion, is cleared, and can be suspected again later")
{
    end(bystander, 1);
    now += 1s;
    end(bystander, 2);
    records.noteCompleted(bystander);
    CHECK(suspicion(bystander) == Suspicion::None);
    now += 1s;
    end(bystander, 3);
    CHECK(records.consecutiveEnds(bystander) == 1);
}

TEST_CASE_METHOD(
    CrashRecordsFixture, "Content, sent to a server that had terminated before, is not blamed for it")
{
    end(culprit, 1);
    now += 1s;
    records.noteEnd(bystander, { server(1), now - 500ms, now });
    CHECK(records.consecutiveEnds(bystander) == 0);
    // Another host did not know of the termination yet.
    CrashRecords other;
    other.noteEnd(bystander, { server(1), now - 500ms, now });
    sendRecords(other, records);
    CHECK(records.consecutiveEnds(bystander) == 0);
    CHECK(records.consecutiveEnds(culprit) == 1);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Server that answers right after its supposed termination, clears the content that ran there")
{
    end(bystander, 1);
    now += 1s;
    end(bystander, 2);
    records.noteAlive(server(2), now + 100ms);
    CHECK(records.consecutiveEnds(bystander) == 1);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Server that answers long after its termination, counts as restarted with the same id")
{
    end(culprit, 1);
    records.noteAlive(server(1), now + 3s);
    CHECK(records.consecutiveEnds(culprit) == 1);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Content, seen at servers that merely accept no connections, is suspected and not refused")
{
    for (int number = 1; number <= 5; ++number) {
        auto seen = ended(number, number - 1);
        seen.evidence = EndEvidence::Unsure;
        records.noteEnd(bystander, seen);
    }
    CHECK(suspicion(bystander) == Suspicion::Isolate);
    for (int number = 1; number <= 4; ++number) {
        CHECK(suspicion(bystander) == Suspicion::Isolate);
        records.noteDeregistered(server(number), now + 3s);
    }
    CHECK(suspicion(bystander) == Suspicion::Refuse);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Registration that disappears long after, is no evidence of the termination of its server")
{
    auto seen = ended(1);
    seen.evidence = EndEvidence::Unsure;
    records.noteEnd(bystander, seen);
    records.noteDeregistered(server(1), now + 1min);
    CHECK(records.find(bystander)->ends[0].evidence == EndEvidence::Unsure);
}

TEST_CASE_METHOD(
    CrashRecordsFixture, "Server that stays registered, did not terminate under the content that ran there")
{
    for (int number = 1; number <= 3; ++number)
        end(bystander, number, true);
    CHECK(suspicion(bystander) == Suspicion::Refuse);
    records.noteDeregistered(server(3), now + 2s);
    now += CrashRecordOptions().deregistrationTime + 1s;
    records.sweep(now, [](const auto&) { return true; });
    CHECK(records.consecutiveEnds(bystander) == 1);
}

TEST_CASE_METHOD(CrashRecordsFixture,
    "Prefill that ran to completion, clears the content of terminations during prefills only")
{
    auto prefill = ended(1);
    prefill.prefill = true;
    records.noteEnd(culprit, prefill);
    end(culprit, 2);
    records.noteCompleted(culprit, true);
    CHECK(records.consecutiveEnds(culprit) == 1);
    records.noteEnd(culprit, prefill);
    records.noteCompleted(culprit);
    CHECK(records.consecutiveEnds(culprit) == 0);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Hosts, exchanging records in any order, agree")
{
    CrashRecords other;
    end(culprit, 1);
    now += 1s;
    sendRecords(records, other);
    other.noteEnd(culprit, ended(2, 1));
    sendRecords(records, other);
    sendRecords(other, records);
    CHECK(records.consecutiveEnds(culprit) == 2);
    CHECK(other.consecutiveEnds(culprit) == 2);
    records.noteCompleted(culprit);
    sendRecords(other, records);
    CHECK(records.consecutiveEnds(culprit) == 0);
    sendRecords(records, other);
    CHECK(other.consecutiveEnds(culprit) == 0);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Records without changes, merged, are not relayed again")
{
    CrashRecords other;
    end(culprit, 1);
    sendRecords(records, other);
    const auto version = other.version();
    sendRecords(records, other);
    CHECK(other.version() == version);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Refusal, past its time, allows one more run to decide")
{
    for (int number = 1; number <= 3; ++number, now += 1s)
        end(culprit, number, true);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
    CHECK(records.refusedUntil(culprit).at() == now - 1s + CrashRecordOptions().refusalTime);
    now += CrashRecordOptions().refusalTime;
    CHECK(suspicion(culprit) == Suspicion::Isolate);
    end(culprit, 4, true);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Records, past their lifetime, are dropped")
{
    end(culprit, 1);
    now += CrashRecordOptions().lifetime;
    records.sweep(now, [](const auto&) { return false; });
    CHECK(records.size() == 0);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Caller of thousands of crashing contents, evicts no refused one")
{
    for (int number = 1; number <= 3; ++number, now += 1s)
        end(culprit, number, true);
    for (int content = 10; content < 10010; ++content, now += 1ms)
        end(Fingerprint(content), content);
    CHECK(records.size() == CrashRecordOptions().maxRecords);
    CHECK(suspicion(culprit) == Suspicion::Refuse);
}

TEST_CASE_METHOD(CrashRecordsFixture, "Record stored as a row, read by a host that starts later, is the same")
{
    end(culprit, 1);
    now += 1s;
    end(culprit, 2, true);
    const auto row = encodeCrashRecord(*records.find(culprit), now, 1000000);
    // The other host has a different monotonic clock and reads ten seconds later.
    const MonotonicTime then { 30min };
    const auto record = decodeCrashRecord(row, then, 1010000);
    REQUIRE(record);
    CrashRecords other;
    other.merge(*record);
    CHECK(other.suspicion(culprit, then) == Suspicion::Isolate);
    CHECK(other.find(culprit)->ends[1].endedAt == then - 10s);
    CHECK(other.find(culprit)->ends[1].apart);
    CHECK_FALSE(decodeCrashRecord("{}", then, 0));
    CHECK_FALSE(decodeCrashRecord("[1", then, 0));
}

TEST_CASE_METHOD(
    CrashRecordsFixture, "Record from another writer, with numbers out of range, is limited and merged")
{
    const std::string huge = "9223372036854775807";
    const auto record = decodeCrashRecord(R"({"content":"00000000000000aa","written_ms":-)" + huge
            + R"(,"ends":[{"server":"s","started_ms":1,"sent_ms_ago":)" + huge + R"(,"ended_ms_ago":-)" + huge
            + R"(,"evidence":77,"step":)" + huge + "}]}",
        now, 1000000);
    REQUIRE(record);
    records.merge(*record);
    CHECK(records.nextStep(record->subject) > 0);
    CHECK(suspicion(record->subject.id) == Suspicion::None);
}
