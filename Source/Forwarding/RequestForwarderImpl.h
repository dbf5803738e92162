#pragma once

#include "Core/Milliseconds.h"
#include "Forwarding/AttemptOutcome.h"
#include "Forwarding/RequestForwarder.h"
#include "Serving/EventStreamSplitter.h"
#include "Serving/ScopedLoad.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace almondscale {

// Maximum size of a response that is buffered before it is delivered.
inline constexpr std::size_t maxResponseBytes = 8 << 20;

// Refusals and prefill handles have some hundred bytes.
inline constexpr std::size_t maxRefusalBytes = 64 << 10;

// State of one forwarded request. Implemented in RequestForwarder.cpp, RequestForwarderStream.cpp
// and RequestForwarderSuspect.cpp.
class RequestForwarder::Impl : public std::enable_shared_from_this<RequestForwarder::Impl> {
public:
    Impl(ServingContext&, CallerRequest, std::shared_ptr<const Route>, ResponseWriter);
    ~Impl() { --m_context.openRequests; }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    awaitable<void> run();

    void cancel() { stop(m_callerDisconnected); }

    void endBy(Deadline);

private:
    using Attempt = std::function<awaitable<AttemptOutcome>()>;

    bool stopped() const { return m_callerDisconnected || m_deadlinePassed || m_endedForMemory; }

    void stop(bool& reason);

    // Stops the request when its deadline passes.
    void startDeadlineTimer();

    awaitable<void> runAttempts(Attempt attempt);

    // Whether another attempt is allowed. If so, it is counted and charged to the retry budget.
    bool tryStartRetry();

    awaitable<void> sendFailure();

    awaitable<void> refuse(ErrorKind kind);
    // Whether the organisation of the request has used up its share while capacity is scarce.
    bool exceedsShare();
    void noteScarcity(ErrorKind);

    // Opens m_connection to the server. If it returns false, nothing was sent.
    awaitable<bool> openConnection(BackendId id, Address address, Deadline deadline);

    // Sends the request and reads the head of its response; responses to earlier requests are skipped.
    awaitable<Result<BackendReply>> exchange(BackendCall call, Deadline deadline);

    // Applies what a response head says about its server: alive, leaving, paused by Retry-After or limited.
    void applyServerState(const BackendReply& reply);

    // Retry-After delay for a refusal.
    std::optional<Nanoseconds> refusalRetryAfter(ErrorKind kind) const;

    // Priority of the caller's organisation, or of the route.
    Priority effectivePriority() const { return m_request.priority.value_or(m_route->priority); }

    // Checks the caller's key again before a send, since the request may have waited. If it returns false,
    // the request is not sent, and no other attempt is made.
    bool confirmKey();

    // Returns a connection on which nothing was sent.
    void releaseUnused();

    // Uses up m_permit.
    BackendCall makeCall();

    void dropConnection();

    void recordOutcome(const BackendId& id, BackendOutcome outcome);

    // Records an attempt that ended without a complete and valid response.
    void recordLostAttempt(const BackendId& id, const std::error_code& error);

    // Probes whether the server that broke off has terminated, and records the crash if so.
    static awaitable<void> diagnoseBrokenRun(
        ServingContext& context, BrokenRun run, std::shared_ptr<bool> done);

    // Diagnoses the last attempt if its server broke it off. Waits for the result if it may
    // prevent another attempt.
    awaitable<void> handleBrokenRun(bool again);

    using Choose = std::function<std::optional<PlacementChoice>(const Placement::Excluded&)>;

    // Chooses a server for the next send. For a suspect request, locks it first.
    awaitable<std::optional<PlacementChoice>> chooseServer(Choose choose, Placement::Excluded excluded);

    // Waits until a server of the role has room within its limit. Returns false at once if the request would
    // be late then, and true if there is an unlimited server or none at all.
    awaitable<bool> awaitRoom(std::optional<EngineRole> role);

    // Expected time until this host may send one more request to a server of the role, behind those that
    // wait; unset if no server has a limit.
    std::optional<Nanoseconds> expectedRoomWait(std::optional<EngineRole> role, std::size_t ahead) const;

    // Takes the permit for the chosen server, or the one that was reserved there.
    bool takePermit(const BackendId& id);

    // Reserves a request at the server if it has a limit.
    void reserveLimited(const PlacementChoice& choice);

    // Each returns a permit that was not used, if there is one.
    void giveBackPermit();
    void giveBackReservation();

    // Whether the request is refused because of the servers that terminated while running it.
    bool refusedForCrashes();

    // Has the request refused because of the subject of the last verdict, and logs why.
    void refuseForCrashes();

    void releaseSuspectLock();

    // Records a lost attempt that may have run the request.
    AttemptOutcome failAttempt(const BackendId& id, const std::error_code& error);

    // The request began to run on a server at the time; only the first such call counts.
    void noteRunBegan(MonotonicTime began);

    // Counts a request that ended without evidence of a run, but may have run.
    void notePossibleRun();

    // Handles a response that says that the request did not run.
    awaitable<AttemptOutcome> handleRefusal(
        const BackendId& id, const BackendReply& reply, Deadline deadline);

    // Reads the rest of the response, within maxResponseBytes and the memory budget.
    awaitable<Result<std::string>> readRemainingBody(Deadline deadline);

    // Charges the buffered bytes and waits until more may be read. Returns false if the response must end.
    awaitable<bool> awaitMemory(const std::string& body, Deadline deadline);

    // Delivers a complete response, or keeps it in m_failure if its status is 5xx.
    awaitable<AttemptOutcome> handleWholeResponse(const BackendId& id, BackendReply reply, Deadline deadline);

    awaitable<AttemptOutcome> attemptPlain();

    AttemptOutcome failNoServer();

    awaitable<AttemptOutcome> attemptStream();

    // Ends the request because no response is expected before the deadline.
    AttemptOutcome failDeadlineUnreachable();

    std::optional<PlacementChoice> chooseDecode(
        const DataCentre& prefillDataCentre, const Placement::Excluded&) const;

    // Prefill time in milliseconds on an engine that has the shared part of the prompt cached.
    double cachedWorkMs() const;

    awaitable<std::optional<std::string>> prefillAt(PlacementChoice choice, Address address);

    static awaitable<void> freeKvAt(ServingContext& context, KvSource source);

    void freeKv(const KvSource&);

    // Decodes from the KV cache of a prefill, or without a source on an engine that prefills itself.
    awaitable<AttemptOutcome> decode(std::optional<KvSource> source, DataCentre prefillDataCentre,
        std::optional<PlacementChoice> direct = std::nullopt);

    // Whether the prefill engine announced its leaving too long ago to fetch the KV cache from it.
    bool hasSourceExpired() const;

    // Deadline for the next bytes of a stream.
    Deadline streamDeadline() const;

    awaitable<AttemptOutcome> forwardStream(BackendId id, BackendReply reply);

    // Notes the time between the events of the stream that has ended.
    void noteDecodeSpeed(std::size_t events);

    AttemptOutcome handleCallerDisconnect();

    void logSummary() const;

    // The parts of the prompt, as text.
    std::string partsOfPrompt() const;

    std::int64_t msSince(MonotonicTime at) const;

    ServingContext& m_context;
    CallerRequest m_request;
    std::shared_ptr<const Route> m_route;
    ResponseWriter m_writer;
    ServiceName m_service;
    std::optional<EngineSpec> m_engine;
    MonotonicTime m_arrivedAt;
    // By which the request was routed.
    ManifestState m_manifest;
    Deadline m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    // Last engine chosen for the prefill, and when the prefill was done.
    std::optional<PlacementChoice> m_prefill;
    MonotonicTime m_prefilledAt {};
    // Last engine chosen for the stream.
    std::optional<PlacementChoice> m_decode;
    // Load of a prefill on the decode engine itself, until its first event.
    std::optional<ScopedLoad> m_directWork;
    // Time until which the stream may wait for a slot on the engine.
    Deadline m_slotWaitUntil;
    // When the first event of the stream was passed on.
    MonotonicTime m_firstEventAt {};

    // A decode engine with a limit that was chosen before the prefill, so that no prefill is wasted.
    struct Reservation {
        PlacementChoice choice;
        SendPermit permit;
    };

    // For the next send, to the server chosen last.
    std::optional<SendPermit> m_permit;
    std::optional<Reservation> m_reservation;
    Placement::Excluded m_excluded;
    Placement::Excluded m_prefillExcluded;
    std::unique_ptr<BackendConnection> m_connection;
    BackendId m_backend;
    // What a crash may be due to; the content is the same when the caller repeats the request.
    RequestSubjects m_subjects;
    // The last send: server, time, kind, and the step of each subject.
    BackendLifetime m_server;
    MonotonicTime m_sentAt {};
    bool m_prefilling = false;
    std::vector<int> m_steps;
    std::optional<BrokenRun> m_brokenRun;
    // True once the last broken run has been diagnosed; null before the first one.
    std::shared_ptr<bool> m_diagnosed;
    // The server whose suspect lock this request holds.
    std::optional<BackendId> m_lockedServer;
    // The subject that is locked there.
    CrashSubject m_lockedSubject;
    // The last judgement on a run of this request.
    Verdict m_verdict;
    // The response that is buffered.
    MemoryBudget::Holder m_memory;
    bool m_endedForMemory = false;
    EventStreamSplitter m_eventCutter;
    // Id of the last event received, after which another attempt resumes.
    std::string m_lastEvent;
    // Last 5xx response, delivered if no other attempt succeeds.
    std::optional<LocalResponse> m_failure;
    ErrorKind m_error = ErrorKind::NoEngine;
    bool m_exceedsShare = false;
    const char* m_outcome = "";
    // Sends other than prefills, and attempts that may have run the request.
    int m_requestSends = 0;
    int m_possibleRuns = 0;
    // When the last attempt that may have run was sent.
    MonotonicTime m_possibleRunAt {};
    bool m_runNoted = false;
    // Attempts after the first that sent something, including those that did not run.
    int m_furtherAttempts = 0;
    // Whether the last attempt sent anything to a server.
    bool m_sentInAttempt = false;
    // Whether a prefill was sent, successful or not.
    bool m_prefillSent = false;
    bool m_headSent = false;
    bool m_mayHaveRun = false;
    bool m_outOfServers = false;
    bool m_callerDisconnected = false;
    bool m_deadlinePassed = false;
};

} // namespace almondscale
