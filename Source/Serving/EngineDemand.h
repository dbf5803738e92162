#pragma once

#include "Serving/LearnedSpeed.h"

namespace almondscale {

// Work for the engines of one service in each second, and what is known of their speed.
struct EngineDemand {
    // Milliseconds of prefill at engines of ordinary speed, shared parts being cached.
    double prefillMs = 0;
    // Requests to decode.
    double requests = 0;
    // Tokens of prompts that decode engines have to keep.
    double contextTokens = 0;
    // Milliseconds for which places of decode engines are held.
    double decodeMs = 0;
    LearnedSpeed speed;

    EngineDemand& operator+=(const EngineDemand& other)
    {
        prefillMs += other.prefillMs;
        requests += other.requests;
        contextTokens += other.contextTokens;
        decodeMs += other.decodeMs;
        speed += other.speed;
        return *this;
    }
    EngineDemand& operator*=(double factor)
    {
        prefillMs *= factor;
        requests *= factor;
        contextTokens *= factor;
        decodeMs *= factor;
        speed *= factor;
        return *this;
    }
};

} // namespace almondscale
