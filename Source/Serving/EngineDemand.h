#pragma once

namespace almondscale {

// Work for the engines of one service in each second.
struct EngineDemand {
    // Milliseconds of prefill at engines of ordinary speed, shared parts being cached.
    double prefillMs = 0;
    // Requests to decode.
    double requests = 0;
    // Tokens of prompts that decode engines have to keep.
    double contextTokens = 0;

    EngineDemand& operator+=(const EngineDemand& other)
    {
        prefillMs += other.prefillMs;
        requests += other.requests;
        contextTokens += other.contextTokens;
        return *this;
    }
    EngineDemand& operator*=(double factor)
    {
        prefillMs *= factor;
        requests *= factor;
        contextTokens *= factor;
        return *this;
    }
};

} // namespace almondscale
