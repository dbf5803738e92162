#include "CompletionRun.h"

#include "Core/LogEvent.h"
#include "Dispatch/RetryDecision.h"
#include "EngineStateReply.h"
#include "Http/HttpClient.h"
#include "Http/Json.h"
#include "PromptPrefix.h"

#include <algorithm>
#include <thread>

namespace almondscale {

namespace {

    // How often a waiting request looks whether its caller is still there.
    constexpr auto callerCheckInterval = std::chrono::milliseconds(250);
    constexpr auto inquiryTimeout = std::chrono::milliseconds(500);
    constexpr auto acceptTimeout = std::chrono::seconds(5);
    constexpr auto noEnginePatience = std::chrono::seconds(3);
    constexpr auto engineStateTimeout = std::chrono::seconds(2);
    constexpr auto verdictInterval = std::chrono::milliseconds(25);
    constexpr auto engineRetryInterval = std::chrono::milliseconds(50);

    AttemptStatus::Kind statusKind(const std::string& word)
    {
        if (word == "queued")
            return AttemptStatus::Kind::Queued;
        if (word == "running")
            return AttemptStatus::Kind::Running;
        if (word == "done")
            return AttemptStatus::Kind::Done;
        return word == "cancelled" ? AttemptStatus::Kind::Cancelled : AttemptStatus::Kind::Unknown;
    }

    StreamItem streamItem(const EngineItem& item)
    {
        StreamItem result;
        result.attempt = item.attempt;
        result.index = static_cast<std::uint64_t>(item.index);
        result.token = item.token;
        result.done = item.kind == EngineItem::Kind::Done;
        result.tokens = static_cast<std::uint64_t>(item.total);
        return result;
    }

} // namespace

CompletionRun::CompletionRun(
    HostContext& context, const CompletionCall& call, ModelPool& pool, ReplyWriter& reply)
    : m_context(context)
    , m_call(call)
    , m_pool(pool)
    , m_arrivedAt(context.clock())
    , m_id("cmpl-" + context.ids.next())
    , m_writer(call, m_id, reply)
    , m_reply(reply)
{
    m_route.model = call.model;
    m_route.promptTokens = call.promptTokens;
    m_route.outputTokens = call.maxTokens;
    m_route.deadline = call.deadline;
    m_route.priority = call.priority;
    const PromptPrefix prefix = promptPrefix(call.prompt);
    m_route.prefix = prefix.hash;
    m_route.prefixTokens = prefix.tokens;
    m_fingerprint = fingerprintOf(call.model, call.prompt);
}

void CompletionRun::run()
{
    m_context.budgets.onRequest(m_call.model.text(), m_arrivedAt);
    while (const auto choice = nextChoice()) {
        const Ending ending = attempt(*choice);
        settle(*choice, ending);
        if (ending == Ending::Complete) {
            m_writer.finish();
            return end(ErrorKind::None);
        }
        if (ending != Ending::Failed)
            return endWithoutAnswer(ending);
        if (!mayRetry())
            return;
    }
}

std::optional<RouteChoice> CompletionRun::nextChoice()
{
    m_attempt = AttemptId(m_context.ids.next());
    switch (awaitVerdict()) {
    case StrikeVerdict::Refused:
        end(ErrorKind::CrashingRequest);
        return std::nullopt;
    case StrikeVerdict::Suspect:
        return chooseAlone();
    case StrikeVerdict::Deciding:
        end(lateKind());
        return std::nullopt;
    case StrikeVerdict::Normal:
        break;
    }
    return m_admitted ? chooseAgain() : admit();
}

// Crashes that have just become known are decided within the settle time of the strikes.
StrikeVerdict CompletionRun::awaitVerdict()
{
    while (true) {
        const StrikeVerdict verdict = m_context.crashes.verdict(m_fingerprint);
        if (verdict != StrikeVerdict::Deciding || m_call.deadline.passed(m_context.clock()))
            return verdict;
        std::this_thread::sleep_for(verdictInterval);
    }
}

std::optional<RouteChoice> CompletionRun::admit()
{
    Admittance admittance = m_pool.admit(poolRequest());
    // Engines that are down, closing or kept free are often back within moments.
    const Deadline patience = Deadline::after(m_context.clock(), noEnginePatience);
    while (admittance.refusal == ErrorKind::NoEngine && !patience.passed(m_context.clock())
        && !m_call.deadline.passed(m_context.clock()) && !m_reply.clientDisconnected()) {
        std::this_thread::sleep_for(engineRetryInterval);
        admittance = m_pool.admit(poolRequest());
    }
    if (admittance.refusal != ErrorKind::None) {
        end(admittance.refusal, std::max(Nanoseconds(0), admittance.retryAt - m_context.clock()));
        return std::nullopt;
    }
    m_admitted = true;
    return admittance.choice;
}

std::optional<RouteChoice> CompletionRun::chooseAlone()
{
    while (true) {
        const auto engine = m_context.quarantine.ask(ticket());
        if (engine && awaitIdle(*engine)) {
            m_alone = true;
            RouteChoice choice;
            choice.prefill = *engine;
            choice.decode = *engine;
            return choice;
        }
        // An engine that went away after it was granted would hold the request for ever.
        if (engine)
            m_context.quarantine.finish(ticket());
        const StrikeVerdict verdict = m_context.crashes.verdict(m_fingerprint);
        const bool late = m_call.deadline.passed(m_context.clock());
        if (late || verdict == StrikeVerdict::Refused || m_reply.clientDisconnected()) {
            m_context.quarantine.finish(ticket());
            end(verdict == StrikeVerdict::Refused ? ErrorKind::CrashingRequest : lateKind());
            return std::nullopt;
        }
        std::this_thread::sleep_for(verdictInterval);
    }
}

// Other hosts may still have had work on the engine when it was set aside.
bool CompletionRun::awaitIdle(const EngineId& id)
{
    while (!m_call.deadline.passed(m_context.clock())) {
        const auto engine = m_context.engines.engine(id);
        if (!engine)
            return false;
        const auto state
            = askEngineState(engine->view.address, Deadline::after(m_context.clock(), inquiryTimeout)).state;
        if (!state)
            return false;
        if (state->inFlight == 0)
            return true;
        std::this_thread::sleep_for(verdictInterval);
    }
    return false;
}

void CompletionRun::settle(const RouteChoice& choice, Ending ending)
{
    m_pool.onFinished(m_attempt, choice);
    for (const EngineInstance& run : m_runs)
        m_context.crashes.ended(run, m_fingerprint);
    m_runs.clear();
    if (!m_alone)
        return;
    m_alone = false;
    if (ending == Ending::Complete)
        m_context.crashes.completedAlone(m_fingerprint);
    m_context.quarantine.finish(ticket());
}

void CompletionRun::endWithoutAnswer(Ending ending)
{
    const auto engine = m_context.engines.engine(m_engine);
    m_stream.close();
    end(ending == Ending::CallerGone ? ErrorKind::AnswerLost : ErrorKind::DeadlinePassed);
    if (engine)
        cancelAttempt(engine->view.address, m_attempt, Deadline::after(m_context.clock(), inquiryTimeout));
}

QuarantineTicket CompletionRun::ticket() const
{
    QuarantineTicket ticket;
    ticket.model = m_call.model;
    ticket.entry.host = m_context.settings.host;
    ticket.entry.request = RequestId(m_id);
    ticket.entry.fingerprint = m_fingerprint;
    ticket.entry.deadline = m_call.deadline;
    return ticket;
}

EngineInstance CompletionRun::engineRun(const EngineId& id) const
{
    const auto engine = m_context.engines.engine(id);
    return { id, engine ? engine->boot : 0 };
}

PoolRequest CompletionRun::poolRequest() const
{
    PoolRequest request;
    request.id = RequestId(m_id);
    request.attempt = m_attempt;
    request.route = m_route;
    request.bytes = ByteCount(static_cast<std::int64_t>(m_call.prompt.size()));
    return request;
}

std::optional<RouteChoice> CompletionRun::chooseAgain()
{
    while (true) {
        const auto choice = m_pool.chooseAgain(poolRequest());
        if (choice)
            return choice.value();
        const MonotonicTime now = m_context.clock();
        if (choice.kind() == ErrorKind::DeadlineUnreachable || m_call.deadline.passed(now)) {
            end(lateKind());
            return std::nullopt;
        }
        // An engine that failed this request may be the only one left.
        m_route.excluded.clear();
        std::this_thread::sleep_for(engineRetryInterval);
    }
}

CompletionRun::Ending CompletionRun::attempt(const RouteChoice& choice)
{
    m_choice = choice;
    m_engine = choice.decode;
    const auto decode = m_context.engines.engine(choice.decode);
    const auto prefiller = m_context.engines.engine(choice.prefill);
    if (!decode || !prefiller)
        return failed(AttemptFailure::NotConnected, choice.decode);
    m_runs = { engineRun(choice.prefill) };
    if (choice.movesCache())
        m_runs.push_back(engineRun(choice.decode));
    for (const EngineInstance& run : m_runs)
        m_context.crashes.started(run, m_fingerprint);

    EngineAttempt attempt;
    if (choice.movesCache()) {
        std::string handle;
        m_engine = choice.prefill;
        const Ending ending = prefill(prefiller->view.address, handle);
        if (ending != Ending::Complete)
            return ending;
        m_engine = choice.decode;
        attempt.phase = EngineAttempt::Phase::Decode;
        attempt.kv = handle + "@" + prefiller->view.address.text();
    }
    attempt.attempt = m_attempt;
    attempt.model = m_call.model.text();
    attempt.prompt = m_call.prompt;
    attempt.maxTokens = m_call.maxTokens;
    attempt.priority = m_call.priority.count();
    attempt.offset = static_cast<std::int64_t>(m_assembler.begin(m_attempt));
    const Deadline deadline = Deadline::after(m_context.clock(), acceptTimeout);
    switch (m_stream.start(decode->view.address, attempt, deadline)) {
    case EngineAcceptance::Accepted:
        return readAnswer(decode->view.address);
    case EngineAcceptance::NotRun:
        noteIfGone(choice.decode);
        return failed(AttemptFailure::RefusedNotRun, choice.decode);
    case EngineAcceptance::NotKnown:
    case EngineAcceptance::Unknown:
        break;
    }
    noteIfCrashed(decode->view.address);
    return failed(AttemptFailure::NoAnswer, choice.decode);
}

CompletionRun::Ending CompletionRun::prefill(const Address& engine, std::string& kvHandle)
{
    EngineAttempt attempt;
    // The two phases are two attempts to the engines, even where one engine takes both.
    attempt.attempt = AttemptId(m_attempt.text() + "-prefill");
    attempt.model = m_call.model.text();
    attempt.prompt = m_call.prompt;
    attempt.maxTokens = m_call.maxTokens;
    attempt.priority = m_call.priority.count();
    attempt.phase = EngineAttempt::Phase::Prefill;
    EngineStream stream;
    const EngineAcceptance acceptance
        = stream.start(engine, attempt, Deadline::after(m_context.clock(), acceptTimeout));
    if (acceptance == EngineAcceptance::NotRun) {
        noteIfGone(m_engine);
        return failed(AttemptFailure::RefusedNotRun, m_engine);
    }
    if (acceptance != EngineAcceptance::Accepted) {
        noteIfCrashed(engine);
        return failed(AttemptFailure::NoAnswer, m_engine);
    }
    while (true) {
        const MonotonicTime now = m_context.clock();
        const EngineItem item = stream.next(Deadline::after(now, callerCheckInterval));
        if (item.kind == EngineItem::Kind::Done && item.attempt == attempt.attempt) {
            kvHandle = item.kvHandle;
            return Ending::Complete;
        }
        if (item.kind != EngineItem::Kind::Silent) {
            noteIfCrashed(engine);
            return failed(AttemptFailure::NoAnswer, m_engine);
        }
        if (m_reply.clientDisconnected())
            return Ending::CallerGone;
        if (giveUpAtDeadline(now))
            return Ending::DeadlinePassed;
    }
}

CompletionRun::Ending CompletionRun::readAnswer(const Address& engine)
{
    SilenceOptions options;
    options.idleTimeout = m_context.settings.streamSilence;
    SilenceDetector silence(options, m_context.clock());
    while (true) {
        const EngineItem item = m_stream.next(nextLook(silence, m_context.clock()));
        const MonotonicTime now = m_context.clock();
        Ending ending = Ending::Failed;
        bool goesOn = false;
        switch (item.kind) {
        case EngineItem::Kind::Token:
        case EngineItem::Kind::Done:
            ending = takeItem(item, goesOn);
            silence.onProgress(m_assembler.delivered(), now);
            break;
        case EngineItem::Kind::Silent:
            if (m_reply.clientDisconnected())
                return Ending::CallerGone;
            if (giveUpAtDeadline(now))
                return Ending::DeadlinePassed;
            ending = onSilence(engine, silence);
            goesOn = ending == Ending::Complete;
            break;
        case EngineItem::Kind::Lost:
        case EngineItem::Kind::Malformed:
            ending = onLost(engine, silence);
            goesOn = ending == Ending::Complete;
            break;
        }
        if (!goesOn)
            return ending;
    }
}

CompletionRun::Ending CompletionRun::takeItem(const EngineItem& item, bool& goesOn)
{
    const bool isFirst = m_assembler.delivered() == 0;
    const AnswerProgress progress = m_assembler.accept(streamItem(item));
    if (isFirst && !progress.tokens.empty()) {
        m_firstTokenAt = m_context.clock();
        m_context.metrics.firstToken(m_call.model, m_firstTokenAt - m_arrivedAt);
        m_pool.onFirstToken(m_attempt, m_choice);
    }
    for (const std::string& token : progress.tokens) {
        if (!m_writer.token(token))
            return Ending::CallerGone;
    }
    if (!progress.tokens.empty())
        m_lastTokenAt = m_context.clock();
    if (progress.state == AnswerState::Complete)
        return Ending::Complete;
    if (progress.state == AnswerState::Conflict)
        return failed(AttemptFailure::Conflict, m_engine);
    goesOn = true;
    return Ending::Complete;
}

CompletionRun::Ending CompletionRun::onSilence(const Address& engine, SilenceDetector& silence)
{
    SilenceAction action = silence.check(m_context.clock());
    if (action == SilenceAction::Query) {
        const Inquiry inquiry = inquire(engine);
        if (inquiry.answered)
            action = silence.onStatus(inquiry.status, m_context.clock());
        else
            action = SilenceAction::Wait;
    }
    switch (action) {
    case SilenceAction::Wait:
    case SilenceAction::Query:
        return Ending::Complete;
    case SilenceAction::Resume:
        if (resume(engine, silence))
            return Ending::Complete;
        break;
    case SilenceAction::Restart:
        break;
    }
    return failedWithin();
}

CompletionRun::Ending CompletionRun::onLost(const Address& engine, SilenceDetector& silence)
{
    const Inquiry inquiry = inquire(engine);
    const bool known = inquiry.answered && inquiry.status.kind != AttemptStatus::Kind::Unknown
        && inquiry.status.kind != AttemptStatus::Kind::Cancelled;
    if (known && resume(engine, silence))
        return Ending::Complete;
    noteIfCrashed(engine);
    return failedWithin();
}

bool CompletionRun::resume(const Address& engine, SilenceDetector& silence)
{
    const auto offset = static_cast<std::int64_t>(m_assembler.resumeOffset());
    const Deadline deadline = Deadline::after(m_context.clock(), inquiryTimeout);
    if (m_stream.resume(engine, m_attempt, offset, deadline) != EngineAcceptance::Accepted)
        return false;
    m_context.metrics.attemptEnded("resumed");
    silence.onResumed(m_context.clock());
    return true;
}

CompletionRun::Inquiry CompletionRun::inquire(const Address& engine) const
{
    HttpCall call;
    call.to = engine;
    call.path = "/attempts/" + m_attempt.text() + "/state";
    call.deadline = Deadline::after(m_context.clock(), inquiryTimeout);
    const CallResult result = callOnce(call);
    Inquiry inquiry;
    if (!result.ok())
        return inquiry;
    inquiry.answered = true;
    const auto json = parseJson(result.response->body);
    if (result.response->status != 200 || !json)
        return inquiry;
    inquiry.status.kind = statusKind(jsonString(*json, "state"));
    inquiry.status.tokens = static_cast<std::uint64_t>(jsonInteger(*json, "tokens"));
    return inquiry;
}

void CompletionRun::noteIfCrashed(const Address& engine)
{
    for (const EngineInstance& run : m_runs) {
        const auto record = m_context.engines.engine(run.engine);
        if (!record || record->view.address != engine)
            continue;
        const EngineStateReply reply = awaitEngineState(engine);
        // An engine that cannot be asked counts as crashed: a wrong suspicion costs time, a missed crash
        // costs further engines.
        if (!reply.state || reply.state->boot != run.boot)
            m_context.crashes.crashed(run, m_fingerprint, m_alone);
        if (reply.refused)
            m_context.engines.onRefused(run.engine);
    }
}

// A crashing engine may still accept connections and close them for a moment.
EngineStateReply CompletionRun::awaitEngineState(const Address& engine) const
{
    const Deadline deadline = Deadline::after(m_context.clock(), engineStateTimeout);
    while (true) {
        EngineStateReply reply = askEngineState(engine, Deadline::after(m_context.clock(), inquiryTimeout));
        if (reply.refused || reply.state || deadline.passed(m_context.clock()))
            return reply;
        std::this_thread::sleep_for(engineRetryInterval);
    }
}

// Without this each request that came before the next poll would spend a retry on the same engine.
void CompletionRun::noteIfGone(const EngineId& id)
{
    const auto engine = m_context.engines.engine(id);
    if (!engine)
        return;
    const EngineStateReply reply
        = askEngineState(engine->view.address, Deadline::after(m_context.clock(), inquiryTimeout));
    if (reply.refused)
        m_context.engines.onRefused(id);
}

CompletionRun::Ending CompletionRun::failed(AttemptFailure failure, const EngineId& engine)
{
    m_failure = failure;
    m_stream.close();
    m_route.excluded.insert(engine);
    if (!provesNotRun(failure))
        m_mayHaveRun = true;
    m_context.metrics.attemptEnded(provesNotRun(failure) ? "not_run" : "lost");
    LogEvent("attempt_failed", LogLevel::Warning)
        .with("request", m_id)
        .with("attempt", m_attempt)
        .with("engine", engine)
        .with("not_run", provesNotRun(failure))
        .with("tokens", m_assembler.delivered());
    return Ending::Failed;
}

CompletionRun::Ending CompletionRun::failedWithin()
{
    const bool begun = m_assembler.delivered() > 0;
    return failed(begun ? AttemptFailure::Truncated : AttemptFailure::NoAnswer, m_engine);
}

ErrorKind CompletionRun::lateKind() const
{
    return m_mayHaveRun ? ErrorKind::DeadlinePassed : ErrorKind::DeadlineUnreachable;
}

bool CompletionRun::mayRetry()
{
    while (true) {
        const MonotonicTime now = m_context.clock();
        FailedAttempt attempt;
        attempt.failure = m_failure;
        attempt.repeatable = true;
        attempt.earlierMayHaveRun = m_mayHaveRun;
        attempt.deadline = m_call.deadline;
        attempt.completionAt = now;
        // Suspects run one by one in the quarantine lane, which bounds them instead of the budget.
        const bool suspect = m_context.crashes.verdict(m_fingerprint) != StrikeVerdict::Normal;
        const RetryDecision decision = decideRetry(
            attempt, [&] { return suspect || m_context.budgets.tryRetry(m_call.model.text(), now); });
        if (decision.retry)
            return true;
        const bool budgetOnly = decision.error == ErrorKind::RetryBudgetSpent;
        if (!budgetOnly || m_reply.clientDisconnected()) {
            end(decision.error);
            return false;
        }
        std::this_thread::sleep_for(engineRetryInterval);
    }
}

bool CompletionRun::giveUpAtDeadline(MonotonicTime now) const
{
    // A stream that has begun is finished even if it is late, so that its caller has the whole answer.
    const bool begun = m_call.streamed && m_assembler.delivered() > 0;
    return !begun && m_call.deadline.passed(now);
}

Deadline CompletionRun::nextLook(const SilenceDetector& silence, MonotonicTime now) const
{
    MonotonicTime at = std::min(silence.nextCheck(), now + callerCheckInterval);
    if (!m_call.deadline.passed(now))
        at = std::min(at, m_call.deadline.at());
    return Deadline(at);
}

void CompletionRun::end(ErrorKind kind, Nanoseconds retryAfter)
{
    if (kind != ErrorKind::None)
        m_writer.fail(kind, {}, retryAfter);
    const MonotonicTime now = m_context.clock();
    m_context.metrics.requestEnded(m_call.model, kind);
    recordOutcome(kind, now);
    m_context.metrics.tokensSent(m_call.model, m_writer.tokens().count());
    LogEvent("request", LogLevel::Info)
        .with("id", m_id)
        .with("model", m_call.model)
        .with("organisation", m_call.organisation)
        .with("result", errorName(kind))
        .with("prompt_tokens", m_call.promptTokens)
        .with("tokens", m_writer.tokens())
        .with("in_time", kind == ErrorKind::None && !m_call.deadline.passed(now))
        .with(
            "duration_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_arrivedAt).count());
}

void CompletionRun::recordOutcome(ErrorKind kind, MonotonicTime now)
{
    RequestOutcome outcome;
    outcome.model = m_call.model;
    outcome.organisation = m_call.organisation;
    outcome.finishedAt = std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    outcome.completeInTime = kind == ErrorKind::None && !m_call.deadline.passed(now);
    const std::int64_t tokens = m_writer.tokens().count();
    if (tokens > 0) {
        outcome.firstToken = m_firstTokenAt - m_arrivedAt;
        const Nanoseconds span = m_lastTokenAt - m_firstTokenAt;
        outcome.tokenGap = tokens > 1 ? span / (tokens - 1) : Nanoseconds(0);
    }
    m_context.burn.record(outcome);
}

} // namespace almondscale
