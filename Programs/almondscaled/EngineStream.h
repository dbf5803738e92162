#pragma once

#include "Core/AttemptId.h"
#include "Core/ByteCount.h"
#include "Core/TokenCount.h"
#include "Http/HttpStream.h"

#include <cstdint>
#include <string>

namespace almondscale {

// What one attempt asks of an engine.
struct EngineAttempt {
    enum class Phase {
        Full,
        Prefill,
        Decode,
    };

    AttemptId attempt;
    std::string model;
    std::string prompt;
    TokenCount maxTokens;
    int priority = 0;
    std::int64_t offset = 0;
    Phase phase = Phase::Full;
    // For a decode phase: HANDLE@IP:PORT of the engine that holds the KV cache.
    std::string kv;
};

// One item of an engine's answer.
struct EngineItem {
    enum class Kind {
        Token,
        Done,
        // The connection is alive as far as is known, but nothing came in time.
        Silent,
        // The connection ended before the answer did.
        Lost,
        // The line is not what an engine sends.
        Malformed,
    };

    Kind kind = Kind::Lost;
    AttemptId attempt;
    std::int64_t index = 0;
    std::string token;
    std::int64_t total = 0;
    std::string kvHandle;
};

// How an engine took an attempt.
enum class EngineAcceptance {
    Accepted,
    // The engine said that it did not run the attempt, or was never reached.
    NotRun,
    // The engine does not know the attempt.
    NotKnown,
    // Nothing is known.
    Unknown,
};

// Reads an engine's answer to one attempt.
class EngineStream {
public:
    EngineAcceptance start(const Address&, const EngineAttempt&, Deadline);
    EngineAcceptance resume(const Address&, const AttemptId&, std::int64_t offset, Deadline);
    EngineItem next(Deadline);
    void close() { m_stream.close(); }

private:
    static EngineAcceptance acceptance(const CallResult&);

    HttpStream m_stream;
};

// Tells an engine to stop working on an attempt; a failure is of no consequence.
void cancelAttempt(const Address&, const AttemptId&, Deadline);

} // namespace almondscale
