#pragma once

#include <cstdint>

namespace almondscale {

// What the control experiment measured.
struct ControlFigures {
    int hosts = 0;
    double bytesPerSecondPerHost = 0;
    // The part of what comes in that is the text of the rules.
    double rulesBytesPerSecondPerHost = 0;
    // The host with the most traffic.
    double bytesPerSecondWorstHost = 0;
    double cpuFractionPerHost = 0;
    double memoryBytesPerHost = 0;
    double platformReadsPerSecond = 0;
    double rulesInForceP100 = 0;
    double failureDetectedP99 = 0;
    // Running hosts that were suspected, and running hosts that were declared dead.
    std::uint64_t falseSuspicions = 0;
    std::uint64_t falseDeaths = 0;
    std::uint64_t changes = 0;
    std::uint64_t changesUnfinished = 0;
    std::uint64_t failures = 0;
    std::uint64_t replacements = 0;
    std::uint64_t pingsRepeated = 0;
};

} // namespace almondscale
