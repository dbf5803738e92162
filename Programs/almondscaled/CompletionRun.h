#pragma once

#include "CompletionCall.h"
#include "CompletionWriter.h"
#include "Dispatch/AnswerAssembler.h"
#include "Dispatch/AttemptFailure.h"
#include "Dispatch/Fingerprint.h"
#include "Dispatch/SilenceDetector.h"
#include "EngineStateReply.h"
#include "EngineStream.h"
#include "HostContext.h"

#include <optional>
#include <vector>

namespace almondscale {

// Carries one caller's request through admission and its attempts to its only answer.
class CompletionRun {
public:
    CompletionRun(HostContext&, const CompletionCall&, ModelPool&, ReplyWriter&);

    void run();

private:
    // How an attempt ended.
    enum class Ending {
        Complete,
        CallerGone,
        DeadlinePassed,
        Failed,
    };

    // What the engine says about an attempt whose connection is in doubt.
    struct Inquiry {
        bool answered = false;
        AttemptStatus status;
    };

    // The engines for the next attempt; nothing if the request was ended instead.
    std::optional<RouteChoice> nextChoice();
    std::optional<RouteChoice> admit();
    std::optional<RouteChoice> chooseAgain();
    std::optional<RouteChoice> chooseAlone();
    StrikeVerdict awaitVerdict();
    bool awaitIdle(const EngineId&);
    void settle(const RouteChoice&, Ending);
    void endWithoutAnswer(Ending);
    PoolRequest poolRequest() const;
    QuarantineTicket ticket() const;
    EngineInstance engineRun(const EngineId&) const;
    Ending attempt(const RouteChoice&);
    Ending prefill(const Address& engine, std::string& kvHandle);
    Ending readAnswer(const Address& engine);
    Ending takeItem(const EngineItem&, bool& progressed);
    Ending onSilence(const Address& engine, SilenceDetector&);
    Ending onLost(const Address& engine, SilenceDetector&);
    bool resume(const Address& engine, SilenceDetector&);
    Inquiry inquire(const Address& engine) const;
    // Tells the guard if the engine's life ended while it ran the attempt.
    void noteIfCrashed(const Address& engine);
    EngineStateReply awaitEngineState(const Address& engine) const;
    void noteIfGone(const EngineId&);
    Ending failed(AttemptFailure, const EngineId&);
    // The connection to the current engine was lost before the end of the answer.
    Ending failedWithin();
    // What a request that is out of time is answered.
    ErrorKind lateKind() const;
    // Waits while only the budget forbids a further attempt; ends the request if none may be made.
    bool mayRetry();
    bool giveUpAtDeadline(MonotonicTime now) const;
    Deadline nextLook(const SilenceDetector&, MonotonicTime now) const;
    void end(ErrorKind, Nanoseconds retryAfter = {});
    void recordOutcome(ErrorKind, MonotonicTime now);

    HostContext& m_context;
    const CompletionCall& m_call;
    ModelPool& m_pool;
    MonotonicTime m_arrivedAt;
    // Hold once the first token has gone to the caller.
    MonotonicTime m_firstTokenAt {};
    MonotonicTime m_lastTokenAt {};
    std::string m_id;
    CompletionWriter m_writer;
    ReplyWriter& m_reply;
    AnswerAssembler m_assembler;
    EngineStream m_stream;
    RouteRequest m_route;
    AttemptId m_attempt;
    EngineId m_engine;
    RouteChoice m_choice;
    AttemptFailure m_failure = AttemptFailure::NoAnswer;
    Fingerprint m_fingerprint;
    // The lives of the engines that the current attempt uses.
    std::vector<EngineInstance> m_runs;
    bool m_admitted = false;
    // Whether the current attempt has its engine to itself.
    bool m_alone = false;
    bool m_mayHaveRun = false;
};

} // namespace almondscale
