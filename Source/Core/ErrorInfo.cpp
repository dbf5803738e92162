#include "Core/ErrorInfo.h"

#include <array>

namespace almondscale {

namespace {

    constexpr auto notRun = ExecutionStatus::NotRun;
    constexpr auto unknown = ExecutionStatus::Unknown;

    // One row per kind, in the order of the enumeration.
    constexpr std::array<ErrorInfo, 36> table { {
        { ErrorKind::None, "none", 200, notRun, false, "" },
        { ErrorKind::BadRequest, "bad_request", 400, notRun, false, "The request is malformed." },
        { ErrorKind::HeaderTooLarge, "header_too_large", 431, notRun, false,
            "The request header is too large." },
        { ErrorKind::BodyTooLarge, "body_too_large", 413, notRun, false, "The request body is too large." },
        { ErrorKind::RequestTimeout, "request_timeout", 408, notRun, true,
            "The request arrived too slowly." },
        { ErrorKind::LengthRequired, "length_required", 411, notRun, false,
            "Send the body with a Content-Length." },
        { ErrorKind::Unauthorised, "unauthorised", 401, notRun, false, "The key is missing or wrong." },
        { ErrorKind::NotFound, "not_found", 404, notRun, false, "There is no such path." },
        { ErrorKind::UnknownModel, "unknown_model", 404, notRun, false, "No rule names this model." },
        { ErrorKind::UnknownService, "unknown_service", 404, notRun, false, "No rule names this service." },
        { ErrorKind::PromptTooLong, "prompt_too_long", 413, notRun, false,
            "The prompt and the answer do not fit into the model's context." },
        { ErrorKind::LimitExceeded, "limit_exceeded", 429, notRun, true,
            "The organisation has reached its limit." },
        { ErrorKind::QueueFull, "queue_full", 503, notRun, true, "Too many requests are waiting." },
        { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, notRun, true,
            "The answer cannot be complete before the deadline." },
        { ErrorKind::DeadlinePassed, "deadline_passed", 504, unknown, true,
            "The deadline passed before the answer was complete." },
        { ErrorKind::NoEngine, "no_engine", 503, notRun, true,
            "No backend server can take the request now." },
        { ErrorKind::CrashingRequest, "crashing_request", 422, unknown, false,
            "Backend servers crashed while running this request." },
        { ErrorKind::CrashingRequestNotRun, "crashing_request_not_run", 503, notRun, true,
            "Backend servers crashed while running this request, so it was not run again." },
        { ErrorKind::NoRules, "no_rules", 503, notRun, true, "This host holds no rules yet." },
        { ErrorKind::ManifestTooOld, "manifest_too_old", 503, notRun, true,
            "This host cannot tell whether the key is still valid." },
        { ErrorKind::ShuttingDown, "shutting_down", 503, notRun, true, "This host is shutting down." },
        { ErrorKind::BookingNotRecorded, "booking_not_recorded", 503, notRun, true,
            "The booking could not be recorded and was not sent." },
        { ErrorKind::BookingInProgress, "booking_in_progress", 409, unknown, true,
            "A booking with this key is in progress." },
        { ErrorKind::BookingUnknown, "booking_unknown", 502, unknown, false,
            "The booking was sent and its answer was lost." },
        { ErrorKind::RetryBudgetSpent, "retry_budget_spent", 503, notRun, true,
            "Too many attempts have failed recently." },
        { ErrorKind::AnswerLost, "answer_lost", 502, unknown, false, "The answer was lost." },
        { ErrorKind::PlatformUnavailable, "platform_unavailable", 503, notRun, true,
            "The platform cannot be reached." },
        { ErrorKind::PlatformOutcomeUnknown, "platform_outcome_unknown", 503, unknown, true,
            "The platform's answer to a write was lost." },
        { ErrorKind::VersionConflict, "version_conflict", 409, notRun, true, "Another change came first." },
        { ErrorKind::RulesInvalid, "rules_invalid", 422, notRun, false, "The rules are not valid." },
        { ErrorKind::LeaseLost, "lease_lost", 409, notRun, true, "The lease is held by another host." },
        { ErrorKind::OrderRefused, "order_refused", 409, notRun, false, "The engine refused the order." },
        { ErrorKind::PeerUnreachable, "peer_unreachable", 503, unknown, true, "A host cannot be reached." },
        { ErrorKind::FrameInvalid, "frame_invalid", 400, notRun, false, "A control frame is malformed." },
        { ErrorKind::SettingsInvalid, "settings_invalid", 400, notRun, false, "The settings are not valid." },
        { ErrorKind::Internal, "internal", 500, unknown, false, "The host failed internally." },
    } };

    constexpr bool tableFollowsEnumeration()
    {
        for (std::size_t i = 0; i < table.size(); ++i) {
            if (static_cast<std::size_t>(table[i].kind) != i)
                return false;
        }
        return true;
    }

    static_assert(tableFollowsEnumeration(), "The table has one row per error kind, in order.");
    static_assert(table.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1,
        "The table has a row for each error kind.");

} // namespace

const ErrorInfo& errorInfo(ErrorKind kind) { return table[static_cast<std::size_t>(kind)]; }

} // namespace almondscale
