#pragma once

#include "Shift/Fleet.h"
#include "Shift/Mix.h"
#include "Shift/ShiftFault.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// The command line of the experiments on shifts of the mix.
struct ShiftOptions {
    Fleet fleet;
    Mix mix;
    std::string policy = "almondscale";
    std::vector<std::uint64_t> seeds { 1 };
    // 0 leaves the rates as the mix has them.
    double load = 0;
    ShiftFault fault = ShiftFault::None;
    std::string faultName = "none";
    bool json = false;
    std::string svgFile;
    bool help = false;
};

// Reads the arguments; an error is empty if they are right.
std::string readShiftOptions(int argc, char** argv, ShiftOptions&);

void printShiftUsage();

} // namespace almondscale
