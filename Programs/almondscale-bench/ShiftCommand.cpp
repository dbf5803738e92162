#include "ShiftCommand.h"

#include "Shift/ShiftOptions.h"
#include "Shift/ShiftRun.h"

#include <iostream>

namespace almondscale {

int runShiftCommand(int argc, char** argv)
{
    ShiftOptions options;
    const auto error = readShiftOptions(argc, argv, options);
    if (!error.empty()) {
        std::cerr << "almondscale-bench shift: " << error << "\n";
        return 2;
    }
    if (options.help) {
        std::cout
            << "usage: almondscale-bench shift [OPTION]...\n"
            << "  --policy NAME                 almondscale, fixed, threshold or clairvoyant [almondscale]\n";
        printShiftUsage();
        return 0;
    }
    bool sound = true;
    for (const auto seed : options.seeds) {
        const ShiftRun run(options.mix, options.fleet, seed, options.fault);
        const auto outcome = run.run(options.policy);
        std::cout << (options.json ? shiftOutcomeJson(*outcome) : shiftOutcomeLine(*outcome)) << "\n";
        for (const auto& violation : outcome->result.violations)
            std::cerr << "violation: " << violation << "\n";
        sound = sound && outcome->result.violations.empty();
    }
    return sound ? 0 : 1;
}

} // namespace almondscale
