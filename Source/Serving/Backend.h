#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/BackendLoad.h"
#include "Serving/BackendRecord.h"
#include "Serving/ServerFactors.h"

#include <cstdint>
#include <unordered_map>

namespace almondscale {

// A backend server with this host's view of its load and health.
struct Backend {
    BackendRecord record;
    // Outstanding work of this host, and of all other hosts as last reported.
    BackendLoad localLoad;
    BackendLoad remoteLoad;

    // Consecutive failed attempts, counted once per ejection.
    int consecutiveFailures = 0;
    // The server is ejected, i.e. gets no new work, until this time after a failure or a refusal.
    MonotonicTime ejectedUntil {};
    // Number of concurrent requests at which the server refused one; valid until requestLimitUntil.
    int requestLimit = 0;
    MonotonicTime requestLimitUntil {};
    // The last attempt could not establish a connection.
    bool unreachable = false;
    // A probe is in progress: one attempt to find out whether the server has recovered.
    bool probing = false;
    // Moving average of the share of failed attempts, 0 to 1.
    double failureShare = 0;
    // Moving average of measured time divided by the time expected of this server; 1 at that speed. Covers
    // what is slow for this host alone, or not yet known of the server.
    double slowness = 1;
    // The speed of the server, known from the measurements of all hosts.
    ServerFactors factors;
    // Hashes of the prompt prefixes sent to the server for prefill, with the time of the last send.
    std::unordered_map<std::uint64_t, MonotonicTime> prefixes;

    // Up to this value the server counts as one of nominal speed, because its queueing time is only an
    // estimate.
    static constexpr double slownessThreshold = 1.6;

    // The factors by which expected times are multiplied.
    double delayFactor() const { return slowness < slownessThreshold ? 1 : slowness; }
    double prefillDelay() const { return factors.prefill * delayFactor(); }
    double decodeDelay() const { return factors.decode * delayFactor(); }

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
