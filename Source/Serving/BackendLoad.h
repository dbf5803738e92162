#pragma once

namespace almondscale {

// Outstanding work at one backend server.
struct BackendLoad {
    // Prefill work that is not finished, in milliseconds at nominal engine speed.
    double prefillMs = 0;
    // Requests that were sent and are not finished, without prefills.
    int requests = 0;
    // Context tokens that running requests hold in the engine's memory.
    double contextTokens = 0;
    // Deferred work, which yields to all other work, in milliseconds: time to prefill, or time for which
    // streams hold their slots.
    double deferredMs = 0;

    BackendLoad& operator+=(const BackendLoad& other)
    {
        prefillMs += other.prefillMs;
        requests += other.requests;
        contextTokens += other.contextTokens;
        deferredMs += other.deferredMs;
        return *this;
    }
    BackendLoad& operator-=(const BackendLoad& other)
    {
        prefillMs -= other.prefillMs;
        requests -= other.requests;
        contextTokens -= other.contextTokens;
        deferredMs -= other.deferredMs;
        return *this;
    }
};

} // namespace almondscale
