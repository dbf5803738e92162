#include "Load/LoadCaller.h"

#include "Core/ErrorKind.h"
#include "Http/HttpClient.h"
#include "Http/HttpStream.h"
#include "Http/JsonBuilder.h"
#include "Load/AnswerCheck.h"
#include "Load/LoadPlan.h"
#include "Load/RefusalBody.h"

#include <thread>

namespace almondscale {

namespace {

    constexpr int statusOk = 200;
    // The system tells itself that the deadline has passed; a caller waits a little for it.
    constexpr Nanoseconds patience = std::chrono::seconds(10);
    // A booking takes some tens of milliseconds.
    constexpr Nanoseconds askAgainInterval = std::chrono::milliseconds(50);

    std::string milliseconds(Nanoseconds time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    HttpCall commonCall(
        const MixLine& line, const CallSettings& settings, const Address& host, MonotonicTime plannedAt)
    {
        HttpCall call;
        call.to = host;
        call.method = "POST";
        call.headers["Content-Type"] = "application/json";
        call.headers["X-Organisation"] = line.organisation;
        call.headers["X-Priority"] = std::to_string(line.priority);
        call.headers["X-Deadline-Ms"] = milliseconds(settings.deadline);
        call.deadline = Deadline(plannedAt + settings.deadline + patience);
        return call;
    }

    CallOutcome failed(const std::string& fault)
    {
        CallOutcome outcome;
        outcome.fault = fault;
        return outcome;
    }

    CallOutcome refusalOutcome(const HttpResponse& response)
    {
        const auto refusal = refusalFromBody(response.body);
        if (!refusal)
            return failed("status " + std::to_string(response.status) + " with body '" + response.body + "'");
        CallOutcome outcome;
        outcome.kind = CallOutcome::Kind::Refused;
        outcome.refusal = refusal->kind;
        outcome.run = refusal->run;
        return outcome;
    }

    CallOutcome completeOutcome(const CallSettings& settings, MonotonicTime plannedAt)
    {
        CallOutcome outcome;
        outcome.kind = CallOutcome::Kind::Complete;
        outcome.inTime = monotonicClock()() <= plannedAt + settings.deadline;
        return outcome;
    }

    CallOutcome sendBooking(const PlannedCall& planned, const MixLine& line, const CallSettings& settings,
        const Address& host, MonotonicTime plannedAt)
    {
        HttpCall call = commonCall(line, settings, host, plannedAt);
        call.path = "/services/" + settings.service + "/bookings";
        call.headers["Idempotency-Key"] = planned.key.text();
        JsonBuilder body;
        body.text("booking", planned.key.text());
        call.body = body.finish();
        for (;;) {
            const CallResult result = callOnce(call);
            if (!result.ok())
                return failed("no answer to a booking");
            if (result.response->status == statusOk)
                return completeOutcome(settings, plannedAt);
            CallOutcome outcome = refusalOutcome(*result.response);
            const bool underWay = outcome.refusal == errorName(ErrorKind::BookingInProgress);
            if (!underWay
                || Deadline(plannedAt + settings.deadline).passed(monotonicClock()() + askAgainInterval))
                return outcome;
            // The call with the same key that came first will record the answer.
            std::this_thread::sleep_for(askAgainInterval);
        }
    }

    CallOutcome readAnswer(HttpStream& stream, AnswerCheck& check, Deadline deadline,
        const CallSettings& settings, MonotonicTime plannedAt)
    {
        std::optional<Nanoseconds> firstToken;
        std::string line;
        for (;;) {
            const HttpStream::ReadResult read = stream.readLine(line, deadline);
            if (read == HttpStream::ReadResult::TimedOut)
                return failed("silent after " + std::to_string(check.tokens()) + " tokens");
            if (read == HttpStream::ReadResult::EndOfStream)
                break;
            check.onLine(line);
            if (!firstToken && check.tokens() > 0)
                firstToken = monotonicClock()() - plannedAt;
        }
        check.onEnd();
        CallOutcome outcome;
        if (check.fault())
            outcome = failed(*check.fault());
        else if (check.refusal()) {
            outcome.kind = CallOutcome::Kind::Refused;
            outcome.refusal = *check.refusal();
        } else
            outcome = completeOutcome(settings, plannedAt);
        outcome.firstToken = firstToken;
        return outcome;
    }

    CallOutcome sendCompletion(const PlannedCall& planned, const MixLine& line, const CallSettings& settings,
        const Address& host, MonotonicTime plannedAt)
    {
        const std::string prompt = promptOf(planned, line);
        HttpCall call = commonCall(line, settings, host, plannedAt);
        call.path = "/v1/completions";
        JsonBuilder body;
        body.text("model", settings.model).text("prompt", prompt).integer("max_tokens", planned.maxTokens);
        call.body = body.flag("stream", true).finish();
        HttpStream stream;
        const CallResult result = stream.open(call);
        if (!result.ok())
            return failed("no answer");
        if (result.response->status != statusOk)
            return refusalOutcome(*result.response);
        AnswerCheck check(prompt, planned.maxTokens);
        return readAnswer(stream, check, call.deadline, settings, plannedAt);
    }

} // namespace

CallOutcome sendCall(const PlannedCall& planned, const MixLine& line, const CallSettings& settings,
    const Address& host, MonotonicTime plannedAt)
{
    if (line.booking)
        return sendBooking(planned, line, settings, host, plannedAt);
    return sendCompletion(planned, line, settings, host, plannedAt);
}

} // namespace almondscale
