#pragma once

#include <system_error>

namespace almondscale {

// All kinds of errors that are reported to callers, to operators or between components.
enum class ErrorKind {
    None,
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTimeout,
    LengthRequired,
    Unauthorised,
    NotFound,
    UnknownModel,
    UnknownService,
    PromptTooLong,
    LimitExceeded,
    QueueFull,
    DeadlineUnreachable,
    DeadlinePassed,
    NoEngine,
    CrashingRequest,
    CrashingRequestNotRun,
    NoRules,
    ManifestTooOld,
    ShuttingDown,
    BookingNotRecorded,
    BookingInProgress,
    BookingUnknown,
    RetryBudgetSpent,
    AnswerLost,
    PlatformUnavailable,
    PlatformOutcomeUnknown,
    VersionConflict,
    RulesInvalid,
    LeaseLost,
    OrderRefused,
    PeerUnreachable,
    FrameInvalid,
    SettingsInvalid,
    Internal,
};

std::error_code make_error_code(ErrorKind);

// The kind for an error code of this category, None for no error, and Internal for any other error.
ErrorKind errorKind(const std::error_code&);

// The name of the kind in responses and logs, such as "queue_full".
const char* errorName(ErrorKind);

} // namespace almondscale

template <> struct std::is_error_code_enum<almondscale::ErrorKind> : std::true_type {
};
