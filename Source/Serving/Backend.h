#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/BackendLoad.h"
#include "Serving/BackendRecord.h"

#include <cstdint>
#include <unordered_map>

namespace almondscale {

// One backend server with what this host knows of its work and its condition.
struct Backend {
    BackendRecord record;
    // Open work of this host, and of all others as last heard.
    BackendLoad localLoad;
    BackendLoad remoteLoad;

    // Trials that broke without an answer between them.
    int consecutiveFailures = 0;
    // No new work before this, after it broke or refused.
    MonotonicTime ejectedUntil {};
    // Requests from which it refuses more, as a refusal showed, until the time beside it.
    int requestLimit = 0;
    MonotonicTime requestLimitUntil {};
    // The last attempt found no connection.
    bool unreachable = false;
    // One attempt is under way to see whether a broken server is back.
    bool probing = false;
    // Share of the recent attempts that it failed, 0 to 1.
    double failureShare = 0;
    // Measured time over expected time of recent attempts, 1 for an ordinary server.
    double slowness = 1;
    // Prompt parts sent to it for prefill, and when last.
    std::unordered_map<std::uint64_t, MonotonicTime> prefixes;

    // Below this a server counts as an ordinary one: what waits there is only estimated.
    static constexpr double slownessThreshold = 1.6;

    // The factor for what is expected of it.
    double delayFactor() const { return slowness < slownessThreshold ? 1 : slowness; }

    bool isFull(MonotonicTime now) const
    {
        return requestLimitUntil > now && load().requests >= requestLimit;
    }

    BackendLoad load() const
    {
        BackendLoad sum = localLoad;
        return sum += remoteLoad;
    }
};

} // namespace almondscale
