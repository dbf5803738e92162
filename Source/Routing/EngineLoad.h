#pragma once

#include "Core/AttemptId.h"
#include "Routing/EngineEstimate.h"
#include "Routing/EngineSpeed.h"
#include "Routing/LoadReport.h"
#include "Routing/RouterOptions.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// The estimated rates at which peers send work to one engine.
struct ArrivalRates {
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    double requestsPerSecond = 0;
    double blocksPerSecond = 0;
};

// Tracks the last load report of one engine and the attempts that this host has sent to it.
class EngineLoad {
public:
    explicit EngineLoad(EngineSpeed configured);
    EngineLoad(EngineLoad&&) = default;
    EngineLoad& operator=(EngineLoad&&) = default;

    // Returns whether the engine has restarted since the previous report. Ignores a report older
    // than the last one.
    bool onReport(const LoadReport&);
    void onSent(const AttemptId&, TokenCount prefill, TokenCount decode, MonotonicTime now);
    void onFirstToken(const AttemptId&, MonotonicTime now);
    void onFinished(const AttemptId&, MonotonicTime now);
    void removeBefore(MonotonicTime);

    EngineEstimate estimate(MonotonicTime now, const ArrivalRates&, bool extrapolateReports) const;
    const EngineSpeed& speed() const { return m_speed; }
    double blocksFor(TokenCount) const;

private:
    struct SentAttempt {
        MonotonicTime at;
        double prefill = 0;
        double decode = 0;
        double blocks = 0;
        bool engineWasIdle = false;
        std::optional<MonotonicTime> firstTokenAt;
    };
    struct Finished {
        MonotonicTime sentAt;
        MonotonicTime at;
        double blocks = 0;
    };

    bool isReported(MonotonicTime sentAt) const;
    void rebuildUnreported();
    double backlog(double reported, double SentAttempt::*part, double perSecond, MonotonicTime now) const;
    void updateAverage(double& average, double tokens, Nanoseconds time);

    EngineSpeed m_speed;
    std::optional<LoadReport> m_report;
    std::map<AttemptId, SentAttempt> m_sent;
    // The attempts not included in the last report, in the order of sending.
    std::vector<const SentAttempt*> m_unreported;
    std::deque<Finished> m_finished;
};

} // namespace almondscale
