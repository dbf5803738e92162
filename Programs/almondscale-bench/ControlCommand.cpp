#include "ControlCommand.h"

#include "ControlExperiment.h"
#include "ControlOptions.h"

#include <iostream>

namespace almondscale {

namespace {

    void printFigures(const ControlFigures& figures)
    {
        std::cout << "hosts=" << figures.hosts
                  << " bytes_per_second_per_host=" << figures.bytesPerSecondPerHost
                  << " cpu_fraction_per_host=" << figures.cpuFractionPerHost
                  << " memory_bytes_per_host=" << static_cast<long long>(figures.memoryBytesPerHost)
                  << " platform_reads_per_second=" << figures.platformReadsPerSecond
                  << " rules_in_force_p100_s=" << figures.rulesInForceP100
                  << " failure_detected_p99_s=" << figures.failureDetectedP99
                  << " false_suspicions=" << figures.falseSuspicions
                  << " false_deaths=" << figures.falseDeaths
                  << " rules_bytes_per_second_per_host=" << figures.rulesBytesPerSecondPerHost
                  << " bytes_per_second_worst_host=" << figures.bytesPerSecondWorstHost
                  << " changes=" << figures.changes << " changes_unfinished=" << figures.changesUnfinished
                  << " failures=" << figures.failures << " replacements=" << figures.replacements
                  << " pings_repeated=" << figures.pingsRepeated << "\n";
    }

} // namespace

int runControlCommand(int argc, char** argv)
{
    const auto options = parseControlOptions(argc, argv);
    if (!options)
        return 2;
    if (options->help) {
        printControlUsage();
        return 0;
    }
    printFigures(ControlExperiment(*options).run());
    return 0;
}

} // namespace almondscale
