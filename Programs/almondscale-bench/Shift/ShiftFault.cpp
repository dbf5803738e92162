#include "Shift/ShiftFault.h"

#include <map>

namespace almondscale {

namespace {

    const std::map<std::string, ShiftFault>& faults()
    {
        static const std::map<std::string, ShiftFault> all {
            { "none", ShiftFault::None },
            { "crash-in-change", ShiftFault::CrashInChange },
            { "engine-crash", ShiftFault::EngineCrash },
            { "withdraw", ShiftFault::Withdraw },
            { "lost-reports", ShiftFault::LostReports },
            { "successor", ShiftFault::Successor },
            { "cut-off", ShiftFault::CutOff },
        };
        return all;
    }

} // namespace

std::optional<ShiftFault> parseShiftFault(const std::string& name)
{
    const auto fault = faults().find(name);
    if (fault == faults().end())
        return std::nullopt;
    return fault->second;
}

std::vector<std::string> shiftFaultNames()
{
    std::vector<std::string> names;
    for (const auto& [name, fault] : faults())
        names.push_back(name);
    return names;
}

} // namespace almondscale
