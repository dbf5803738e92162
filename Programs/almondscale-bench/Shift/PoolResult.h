#pragma once

#include "Core/EngineRole.h"
#include "Core/MonotonicTime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// One role change of a run.
struct RoleChangeRecord {
    MonotonicTime at {};
    EngineRole from = EngineRole::Mixed;
    EngineRole to = EngineRole::Mixed;
};

// How the requests of a run, or of one pool of it, ended.
struct PoolResult {
    std::int64_t offered = 0;
    std::int64_t completeInTime = 0;
    std::int64_t refused = 0;
    std::int64_t late = 0;
    std::vector<RoleChangeRecord> roleChanges;
    // In milliseconds, one for each request that got its first token.
    std::vector<float> firstTokens;
    // In milliseconds, the mean gap of each request that was finished.
    std::vector<float> tokenGaps;
    // Requests by the time bucket in which they arrived.
    std::vector<std::int64_t> offeredInBucket;
    std::vector<std::int64_t> completeInBucket;
    // Broken invariants; a run with any is worthless.
    std::vector<std::string> violations;

    void add(const PoolResult&);
};

// The length of a time bucket of a result.
constexpr std::chrono::seconds resultBucket { 10 };

} // namespace almondscale
