#pragma once

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// What goes wrong in a run.
enum class ShiftFault {
    None,
    // Every other change fails: the engine comes back late and in its old role.
    CrashInChange,
    // An engine crashes with all its requests and comes back after a minute.
    EngineCrash,
    // An engine is drained and does not come back.
    Withdraw,
    // Half of the demand reports are lost, and for a minute all of them.
    LostReports,
    // The lease passes to another host every five minutes.
    Successor,
    // In the middle third one data centre cannot renew its lease, so its roles freeze.
    CutOff,
};

std::optional<ShiftFault> parseShiftFault(const std::string&);
std::vector<std::string> shiftFaultNames();

} // namespace almondscale
