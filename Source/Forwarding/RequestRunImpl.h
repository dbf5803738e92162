#pragma once

#include "Core/Milliseconds.h"
#include "Forwarding/AttemptEnd.h"
#include "Forwarding/RequestRun.h"
#include "Serving/EventStreamSplitter.h"
#include "Serving/ScopedLoad.h"

#include <functional>

namespace almondscale {

// The largest whole answer that is held for a caller, in bytes.
inline constexpr std::size_t mostAnswerBytes = 8 << 20;

// A refusal, or the handle of a prefill, is some hundred bytes.
inline constexpr std::size_t mostRefusalBytes = 64 << 10;

// The state of one request's run; its parts are in RequestRun.cpp, RequestRunStream.cpp and
// RequestRunSuspect.cpp.
class RequestRun::Impl : public std::enable_shared_from_this<RequestRun::Impl> {
public:
    Impl(ServingContext&, CallerRequest, std::shared_ptr<const Route>, AnswerSink);
    ~Impl() { --m_context.openRequests; }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    awaitable<void> run();

    void abandon() { stop(m_callerGone); }

private:
    using Attempt = std::function<awaitable<AttemptEnd>()>;

    bool stopped() const { return m_callerGone || m_timeUp; }

    void stop(bool& reason);

    awaitable<void> runAttempts(Attempt attempt);

    // Whether the request may be sent to another server; counts the further attempt if so.
    bool mayTryAgain();

    awaitable<void> giveUp();

    awaitable<void> refuse(ErrorKind kind);

    // Whether there is a connection to the server now; nothing was sent if not.
    awaitable<bool> openConnection(BackendId id, Address address, Deadline deadline);

    // Sends the request and reads the head of the answer to it.
    awaitable<Result<BackendReply>> exchange(const BackendCall& call, Deadline deadline);

    // Takes from the head of an answer what it says of its server.
    void heed(const BackendReply& reply);

    // When a caller that is refused should come back.
    std::optional<Nanoseconds> comeBackAfter(ErrorKind kind) const;

    BackendCall callTo(const BackendId& id) const;

    void dropConnection();

    void note(const BackendId& id, BackendOutcome outcome);

    // The attempt broke, for want of a whole and proper answer.
    void noteLost(const BackendId& id, const std::error_code& error);

    // Finds out whether the server that broke off has ended, and records it.
    static awaitable<void> examine(ServingContext& context, BrokenRun run, std::shared_ptr<bool> done);

    // Examines the send of the last attempt if its server broke it off, before another attempt
    // that the result may prevent.
    awaitable<void> settle(bool again);

    using Choose = std::function<std::optional<PlacementChoice>(const Placement::Excluded&)>;

    // A server for the next send: one that has no other suspect if this request is one.
    awaitable<std::optional<PlacementChoice>> chooseServer(Choose choose, Placement::Excluded excluded);

    // Whether the request may run nowhere, because of the servers that ended under it.
    bool refusedForCrashes();

    void leaveLane();

    // The same for an attempt that may have run the request.
    AttemptEnd endOfError(const BackendId& id, const std::error_code& error);

    // Takes over an answer that says the request did not run.
    awaitable<AttemptEnd> endOfRefusal(const BackendId& id, const BackendReply& reply, Deadline deadline);

    // Reads what is left of an answer, within what this host can hold.
    awaitable<Result<std::string>> readRest(Deadline deadline);

    // Delivers a whole answer, or keeps it if it is a failure after which another server may be tried.
    awaitable<AttemptEnd> takeWhole(const BackendId& id, BackendReply reply, Deadline deadline);

    awaitable<AttemptEnd> attemptPlain();

    AttemptEnd noServer();

    awaitable<AttemptEnd> attemptStream();

    // The answer cannot come by the deadline.
    AttemptEnd tooLate();

    std::optional<PlacementChoice> chooseDecode(
        const DataCentre& prefilledIn, const Placement::Excluded&) const;

    // Milliseconds of prefill that the request takes where its shared part is cached.
    double cachedWorkMs() const;

    awaitable<std::optional<std::string>> prefillAt(PlacementChoice choice, Address address);

    static awaitable<void> freeAt(ServingContext& context, KvSource source);

    void freeHandle(const KvSource&);

    // Decodes after a prefill, or at the engine that is to read the prompt itself.
    awaitable<AttemptEnd> decode(std::optional<KvSource> source, DataCentre prefilledIn,
        std::optional<PlacementChoice> direct = std::nullopt);

    // The engine that holds the prefill said too long ago that it leaves.
    bool sourceHasLeft() const;

    // Until when the next part of a stream is waited for.
    Deadline silenceDeadline() const;

    awaitable<AttemptEnd> forwardStream(BackendId id, BackendReply reply);

    AttemptEnd leftMidway();

    void logEnd() const;

    std::int64_t msSince(MonotonicTime at) const;

    ServingContext& m_context;
    CallerRequest m_request;
    std::shared_ptr<const Route> m_route;
    AnswerSink m_sink;
    ServiceName m_service;
    std::optional<EngineSpec> m_engine;
    MonotonicTime m_arrivedAt;
    Deadline m_deadline;
    // The last choice of an engine for the prefill, and when it was done.
    std::optional<PlacementChoice> m_prefill;
    MonotonicTime m_prefilledAt {};
    // The reading of a prompt by the engine that decodes, until its first event.
    std::optional<ScopedLoad> m_directWork;
    // Until when the stream may have to wait for its place.
    Deadline m_placeBy;
    // When the first event of a stream went to the caller.
    MonotonicTime m_firstEventAt {};

    Placement::Excluded m_excluded;
    Placement::Excluded m_prefillExcluded;
    std::unique_ptr<BackendConnection> m_connection;
    BackendId m_backend;
    // Stands for the request however often its caller sends it.
    Fingerprint m_content;
    // The last send.
    BackendLifetime m_server;
    MonotonicTime m_sentAt {};
    bool m_prefilling = false;
    int m_step = 0;
    std::optional<BrokenRun> m_broken;
    // Set when the first broken send has been examined.
    std::shared_ptr<bool> m_examined;
    // The server to which the request was let as a suspect.
    std::optional<BackendId> m_laneServer;
    EventStreamSplitter m_cutter;
    // The event after which a further attempt goes on.
    std::string m_lastEvent;
    // The answer of a server that failed, for want of a better one.
    std::optional<LocalResponse> m_failure;
    ErrorKind m_error = ErrorKind::NoEngine;
    const char* m_outcome = "";
    // Sends to servers that were to run the request, and servers that may have run it.
    int m_arrivals = 0;
    int m_runs = 0;
    // Attempts after the first, those that did not run included.
    int m_cycles = 0;
    // The last attempt sent something to a server.
    bool m_sent = false;
    // A prefill was sent, whatever came of it.
    bool m_prefillSent = false;
    bool m_headSent = false;
    bool m_mayHaveRun = false;
    bool m_outOfServers = false;
    bool m_callerGone = false;
    bool m_timeUp = false;
};

} // namespace almondscale
