#pragma once

#include "Report/BurnSummary.h"
#include "Report/RequestOutcome.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondscale {

// Callbacks of the recorder.
struct BurnHooks {
    // Returns the current objective; requests without one are not counted.
    std::function<std::optional<ObjectiveRule>(const ModelName&, const Organisation&)> objective;
};

// The identity and the limits of a recorder.
struct BurnOptions {
    HostId host;
    Incarnation incarnation;
    // Maximum number of organisations per model with a series of their own; the busiest ones of the
    // last hour are preferred.
    std::size_t organisationsPerModel = 50;
    // Maximum number of organisations per model without a series whose requests are counted, to decide
    // whether one replaces an organisation that has a series.
    std::size_t candidatesPerModel = 1000;
    // A candidate needs at least this many times the requests of the organisation that it replaces.
    double replacementFactor = 2;
};

// Counts one host's requests against their objectives. Memory use is bounded per model, whatever
// the number of organisations. Not thread-safe.
class BurnRecorder {
public:
    BurnRecorder(const BurnOptions&, BurnHooks);
    ~BurnRecorder();

    void onFinished(const RequestOutcome&);
    BurnSummary summary(WallTime now);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
