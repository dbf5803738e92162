#pragma once

#include <system_error>

namespace almondscale {

// The closed list of errors that a caller, an operator or a part of the system can see.
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

// The kind that an error code of this category stands for; Internal for any other error.
ErrorKind errorKind(const std::error_code&);

// The word for the kind in answers and logs, such as "queue_full".
const char* errorName(ErrorKind);

} // namespace almondscale

template <> struct std::is_error_code_enum<almondscale::ErrorKind> : std::true_type {
};
