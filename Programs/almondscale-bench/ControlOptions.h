#pragma once

#include <cstdint>
#include <optional>

namespace almondscale {

// How an unanswered ping is sent again.
enum class PingRepeats {
    // Not at all; other hosts are asked.
    None,
    // Once, after a fixed wait.
    Plain,
    // Several times, with gaps that grow.
    Growing,
};

// The options of the control experiment.
struct ControlOptions {
    int hosts = 8;
    int dataCentres = 5;
    int changesPerDay = 270;
    int failuresPerDay = 10;
    int replacementsPerDay = 150;
    // Simulated seconds that are measured, after the hosts have found each other.
    int seconds = 120;
    // How many times faster than on an ordinary day changes, failures and replacements come.
    int speedup = 20;
    // The share of messages that the link loses.
    double loss = 0;
    // The bytes of the rules text that a host pulls for each change.
    int rulesBytes = 20000;
    PingRepeats repeats = PingRepeats::Growing;
    std::uint64_t seed = 1;
    bool help = false;
};

// Reads the options; nothing if one is unknown or out of range, after telling so on standard error.
std::optional<ControlOptions> parseControlOptions(int argc, char** argv);

void printControlUsage();

} // namespace almondscale
