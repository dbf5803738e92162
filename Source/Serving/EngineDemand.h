#pragma once

#include "Serving/LearnedSpeed.h"

namespace almondscale {

// Demand per second on the engines of one service, with the learned speed of these engines.
struct EngineDemand {
    // Prefill time in milliseconds at nominal engine speed, assuming that prefixes are cached.
    double prefillMs = 0;
    // Requests to decode.
    double requests = 0;
    // Prompt tokens that decode engines have to hold.
    double contextTokens = 0;
    // Milliseconds for which slots of decode engines are occupied.
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

// The demand with the fixed time of each prefill counted as work of the engine.
inline EngineDemand demandWithRequestTime(EngineDemand demand, double requestMs)
{
    demand.prefillMs += demand.requests * requestMs;
    return demand;
}

} // namespace almondscale
