#pragma once

namespace almondscale {

// Open work at one backend server.
struct BackendLoad {
    // Prefill work that is not done yet, in milliseconds of an engine of ordinary speed.
    double prefillMs = 0;
    // Requests that were sent and are not finished; prefills are not counted.
    int requests = 0;
    // Tokens that the running requests keep in the engine's memory.
    double contextTokens = 0;
    // Work that yields to all other, in milliseconds: of prefill, or for which streams hold
    // their places.
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
