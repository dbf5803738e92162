#pragma once

#include "Bookings/BookingClaim.h"
#include "Bookings/BookingOutcomeWriter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace almondscale::test {

// Defects injected into the protocol to verify that the search detects them.
enum class InjectedDefect {
    None,
    // A write whose answer was lost is treated as applied.
    TrustsLostAnswers,
    // A call already marked as sent is sent again once its host is considered gone.
    RepeatsSentCalls,
    // The call is sent without first marking the row as sent.
    SkipsMark,
};

// Exhaustively searches the interleavings of attempts with one key and of faults of the table, the
// service and the hosts, up to a number of faults. The reference is the service's own count of runs.
class BookingModel {
public:
    BookingModel(int attempts, int faults, InjectedDefect defect)
        : m_defect(defect)
        , m_faults(faults)
        , m_attempts(attempts)
    {
    }

    // Returns whether every invariant held in every reachable state.
    bool search()
    {
        World world;
        world.faultsLeft = m_faults;
        for (int i = 0; i < m_attempts; ++i)
            world.attempts.push_back(newAttempt(i));
        visit(world);
        return m_violation.empty();
    }

    std::size_t states() const { return m_seen.size(); }
    std::size_t terminalStates() const { return m_terminalStates; }
    std::size_t terminalStatesWithRun() const { return m_terminalStatesWithRun; }
    const std::string& violation() const { return m_violation; }

private:
    enum class Phase {
        Claiming,
        Sending,
        WritingOutcome,
        Finished,
    };

    struct Attempt {
        Phase phase = Phase::Claiming;
        BookingHolder holder;
        std::optional<BookingClaim> claim;
        std::optional<BookingOutcomeWriter> outcomeWriter;
        int runs = 0;
        bool killed = false;
        // The events of the attempt, for the trace of a violation.
        std::string history;
    };

    struct World {
        std::optional<TableRow> row;
        // Writes that have not reached the table yet.
        std::vector<TableCall> delayed;
        std::vector<Attempt> attempts;
        int runs = 0;
        int faultsLeft = 0;
    };

    static BookingRequest request() { return { Organisation("o"), ServiceName("s"), BookingKey("k"), 7 }; }

    static BookingAnswer serviceAnswer() { return { 201, "text/plain", "booked" }; }

    Attempt newAttempt(int number) const
    {
        Attempt attempt;
        attempt.holder = { AttemptId("a" + std::to_string(number)), HostId("h"), Incarnation(1) };
        attempt.claim.emplace(
            request(), attempt.holder, [this](const HostId&, Incarnation) { return m_reportedLive; });
        return attempt;
    }

    void visit(const World& world)
    {
        if (!m_violation.empty() || !m_seen.insert(std::hash<std::string>()(fingerprint(world))).second)
            return;
        if (world.runs > 1)
            return fail(world, "the service ran the booking twice");
        bool finished = true;
        for (std::size_t i = 0; i < world.attempts.size(); ++i) {
            if (world.attempts[i].phase == Phase::Finished)
                continue;
            finished = false;
            step(world, i);
        }
        for (std::size_t i = 0; i < world.delayed.size(); ++i)
            deliverDelayedWrite(world, i);
        if (!finished)
            return;
        ++m_terminalStates;
        m_terminalStatesWithRun += world.runs == 1 ? 1 : 0;
    }

    void step(const World& world, std::size_t i)
    {
        explore(world, i, true, "killed", [](World&, Attempt& attempt) { kill(attempt); });
        if (world.attempts[i].phase == Phase::Sending)
            return send(world, i);
        const auto call = nextCall(world.attempts[i]);
        if (call->kind == TableCall::Kind::Read)
            return read(world, i);
        write(world, i, *call);
    }

    static std::optional<TableCall> nextCall(const Attempt& attempt)
    {
        return attempt.phase == Phase::Claiming ? attempt.claim->nextCall()
                                                : attempt.outcomeWriter->nextCall();
    }

    void send(const World& world, std::size_t i)
    {
        explore(world, i, false, "answered", [](World& next, Attempt& attempt) {
            run(next, attempt);
            startOutcomeWrite(attempt, BookingState::Answered);
        });
        explore(world, i, true, "answer lost", [](World& next, Attempt& attempt) {
            run(next, attempt);
            startOutcomeWrite(attempt, BookingState::Lost);
        });
        explore(world, i, true, "sent and killed", [](World& next, Attempt& attempt) {
            run(next, attempt);
            kill(attempt);
        });
        explore(world, i, true, "refused before a byte",
            [](World&, Attempt& attempt) { startOutcomeWrite(attempt, BookingState::Released); });
    }

    static void kill(Attempt& attempt)
    {
        attempt.phase = Phase::Finished;
        attempt.killed = true;
    }

    static void run(World& world, Attempt& attempt)
    {
        ++world.runs;
        ++attempt.runs;
    }

    static void startOutcomeWrite(Attempt& attempt, BookingState state)
    {
        attempt.outcomeWriter.emplace(request(), attempt.holder, state, serviceAnswer());
        attempt.phase = Phase::WritingOutcome;
    }

    void read(const World& world, std::size_t i)
    {
        const bool actuallyLive = isHolderLive(world);
        for (const bool live : { true, false }) {
            explore(world, i, live != actuallyLive, live ? "read" : "read, holder seems gone",
                [this, live](World& next, Attempt& attempt) {
                    TableAnswer answer;
                    answer.row = next.row;
                    deliverAnswer(next, attempt, applyDefect(answer, {}), live);
                });
        }
        explore(world, i, true, "read failed", [this](World& next, Attempt& attempt) {
            TableAnswer answer;
            answer.answered = false;
            deliverAnswer(next, attempt, answer, true);
        });
    }

    // Whether the attempt that holds the row is still running.
    static bool isHolderLive(const World& world)
    {
        const auto row = world.row ? decodeBookingRow(world.row->value) : std::nullopt;
        return !row || !world.attempts[indexOf(row->holder.attempt)].killed;
    }

    static std::size_t indexOf(const AttemptId& attempt)
    {
        return static_cast<std::size_t>(attempt.text().back() - '0');
    }

    void write(const World& world, std::size_t i, const TableCall& call)
    {
        explore(world, i, false, "written", [this, &call](World& next, Attempt& attempt) {
            TableAnswer answer;
            answer.written = apply(next, call);
            deliverAnswer(next, attempt, answer, true);
        });
        explore(world, i, true, "answer of write lost", [this, &call](World& next, Attempt& attempt) {
            apply(next, call);
            deliverAnswer(next, attempt, applyDefect({}, call), true);
        });
        explore(world, i, true, "write lost or late", [this, &call](World& next, Attempt& attempt) {
            next.delayed.push_back(call);
            deliverAnswer(next, attempt, applyDefect({}, call), true);
        });
        explore(world, i, true, "write refused", [this](World& next, Attempt& attempt) {
            TableAnswer answer;
            answer.written.outcome = WriteOutcome::NotApplied;
            deliverAnswer(next, attempt, answer, true);
        });
    }

    void deliverDelayedWrite(const World& world, std::size_t i)
    {
        World next = world;
        const auto call = next.delayed[i];
        next.delayed.erase(next.delayed.begin() + static_cast<std::ptrdiff_t>(i));
        apply(next, call);
        visit(next);
    }

    static WriteResult apply(World& world, const TableCall& call)
    {
        const auto present = world.row ? world.row->version : RowVersion(0);
        if (present != call.expected)
            return { WriteOutcome::Conflict, present, world.row };
        const auto version = present + RowVersion(1);
        world.row = TableRow { call.key, call.value, version, call.writer };
        return { WriteOutcome::Applied, version, std::nullopt };
    }

    TableAnswer applyDefect(TableAnswer answer, const TableCall& call) const
    {
        if (m_defect == InjectedDefect::TrustsLostAnswers && call.kind == TableCall::Kind::Write)
            answer.written = { WriteOutcome::Applied, call.expected + RowVersion(1), std::nullopt };
        if (m_defect == InjectedDefect::RepeatsSentCalls && answer.row) {
            auto row = decodeBookingRow(answer.row->value);
            if (row->state == BookingState::Sent)
                row->state = BookingState::Recorded;
            answer.row->value = encodeBookingRow(*row);
        }
        return answer;
    }

    void deliverAnswer(World& world, Attempt& attempt, const TableAnswer& answer, bool live)
    {
        m_reportedLive = live;
        attempt.history += describe(answer) + (live ? "+" : "-");
        if (attempt.phase == Phase::WritingOutcome) {
            attempt.outcomeWriter->onAnswer(answer);
            if (!attempt.outcomeWriter->nextCall())
                attempt.phase = Phase::Finished;
            return;
        }
        attempt.claim->onAnswer(answer);
        const bool skipsMark
            = m_defect == InjectedDefect::SkipsMark && answer.written.outcome == WriteOutcome::Applied;
        if (skipsMark)
            attempt.phase = Phase::Sending;
        else if (!attempt.claim->nextCall())
            onClaimDecided(world, attempt);
    }

    void onClaimDecided(World& world, Attempt& attempt)
    {
        const auto& result = attempt.claim->result();
        attempt.history += "=" + std::to_string(static_cast<int>(result.kind));
        if (result.kind == BookingClaimResult::Kind::Send) {
            attempt.phase = Phase::Sending;
            return;
        }
        if (result.kind == BookingClaimResult::Kind::Answered
            && !(result.answer == serviceAnswer() && world.runs == 1))
            fail(world, "an answer was handed out that the service never gave");
        attempt.phase = Phase::Finished;
        if (attempt.claim->mayHaveLeftRow())
            startOutcomeWrite(attempt, BookingState::Released);
    }

    template <typename Change>
    void explore(const World& world, std::size_t i, bool fault, const char* what, Change change)
    {
        if (fault && world.faultsLeft == 0)
            return;
        World next = world;
        next.faultsLeft -= fault ? 1 : 0;
        auto& attempt = next.attempts[i];
        attempt.history += std::string(";") + what;
        change(next, attempt);
        visit(next);
    }

    static std::string describe(const TableAnswer& answer)
    {
        if (!answer.answered)
            return "?";
        std::string text = std::to_string(static_cast<int>(answer.written.outcome)) + "v"
            + std::to_string(answer.written.version.count());
        if (answer.row)
            text += answer.row->writer.text() + std::to_string(answer.row->version.count());
        return text;
    }

    static std::string describe(const Attempt& attempt)
    {
        if (attempt.phase == Phase::Claiming)
            return "claiming " + attempt.claim->describe();
        if (attempt.phase == Phase::WritingOutcome)
            return "closing " + attempt.outcomeWriter->describe();
        if (attempt.phase == Phase::Sending)
            return "sending";
        return attempt.killed ? "killed" : "over";
    }

    static std::string fingerprint(const World& world)
    {
        std::string text = std::to_string(world.runs) + "/" + std::to_string(world.faultsLeft);
        if (world.row)
            text += world.row->writer.text() + std::to_string(world.row->version.count());
        // Delayed writes are listed in sending order. The order does not affect later states.
        for (const auto& call : world.delayed)
            text += "~" + call.writer.text() + std::to_string(call.expected.count());
        for (const auto& attempt : world.attempts)
            text += "|" + describe(attempt);
        return text;
    }

    void fail(const World& world, const std::string& what)
    {
        if (!m_violation.empty())
            return;
        m_violation = what;
        for (const auto& attempt : world.attempts)
            m_violation += "\n  " + attempt.holder.attempt.text() + attempt.history;
    }

    InjectedDefect m_defect;
    int m_faults;
    int m_attempts;
    // The result of the holder liveness check, which may be wrong at any time.
    bool m_reportedLive = true;
    std::unordered_set<std::uint64_t> m_seen;
    std::size_t m_terminalStates = 0;
    std::size_t m_terminalStatesWithRun = 0;
    std::string m_violation;
};

} // namespace almondscale::test
