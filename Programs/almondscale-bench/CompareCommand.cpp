#include "CompareCommand.h"

#include "Shift/ComparisonChart.h"
#include "Shift/PolicyTotals.h"
#include "Shift/ShiftOptions.h"
#include "Shift/ShiftRun.h"

#include <fstream>
#include <iostream>

namespace almondscale {

namespace {

    // Whether the run kept its invariants and stayed below the bound.
    bool isSound(const ShiftOutcome& outcome, const ShiftOutcome& bound)
    {
        for (const auto& violation : outcome.result.violations)
            std::cerr << "violation: " << violation << "\n";
        if (outcome.result.completeInTime <= bound.result.completeInTime)
            return outcome.result.violations.empty();
        std::cerr << "violation: " << outcome.policy << " exceeds the clairvoyant bound\n";
        return false;
    }

    void print(const std::vector<ShiftOutcome>& outcomes, const ShiftOptions& options)
    {
        const auto totals = policyTotals(outcomes);
        if (options.json) {
            std::cout << comparisonJson(options, outcomes, totals) << "\n";
            return;
        }
        for (const auto& outcome : outcomes)
            std::cout << shiftOutcomeLine(outcome) << "\n";
        for (const auto& total : totals)
            std::cout << policyTotalsLine(options, total) << "\n";
    }

    bool drawChart(const std::vector<ShiftOutcome>& outcomes, const ShiftOptions& options)
    {
        if (options.svgFile.empty())
            return true;
        std::ofstream out(options.svgFile);
        out << comparisonChart(options, outcomes).render();
        if (out.flush())
            return true;
        std::cerr << "almondscale-bench compare: cannot write " << options.svgFile
                  << "; check the directory\n";
        return false;
    }

} // namespace

int runCompareCommand(int argc, char** argv)
{
    ShiftOptions options;
    const auto error = readShiftOptions(argc, argv, options);
    if (!error.empty()) {
        std::cerr << "almondscale-bench compare: " << error << "\n";
        return 2;
    }
    if (options.help) {
        std::cout << "usage: almondscale-bench compare [OPTION]...\n"
                  << "  --svg FILE                    draw goodput and role changes over time\n";
        printShiftUsage();
        return 0;
    }
    std::vector<ShiftOutcome> outcomes;
    bool sound = true;
    for (const auto seed : options.seeds) {
        const ShiftRun run(options.mix, options.fleet, seed, options.fault);
        const auto bound = run.run("clairvoyant");
        for (const auto& policy : ShiftRun::policies()) {
            outcomes.push_back(policy == "clairvoyant" ? *bound : *run.run(policy));
            sound = isSound(outcomes.back(), *bound) && sound;
        }
    }
    print(outcomes, options);
    return drawChart(outcomes, options) && sound ? 0 : 1;
}

} // namespace almondscale
