#pragma once

namespace almondscale {

// How the report of a window ended.
enum class UsageOutcome {
    // The platform acknowledged it.
    Reported,
    // The platform refused it so often that it is not sent again.
    Skipped,
    // It was not sent, since an earlier holder may have sent another one.
    LeftOut,
};

inline const char* usageOutcomeName(UsageOutcome outcome)
{
    switch (outcome) {
    case UsageOutcome::Reported:
        return "reported";
    case UsageOutcome::Skipped:
        return "skipped";
    case UsageOutcome::LeftOut:
        return "left_out";
    }
    return "";
}

} // namespace almondscale
