#pragma once

#include "Report/BurnSummary.h"
#include "Report/RequestOutcome.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondscale {

// Where the recorder gets what varies.
struct BurnHooks {
    // The objective in force; requests without one are not counted.
    std::function<std::optional<ObjectiveRule>(const ModelName&, const Organisation&)> objective;
};

// Bounds of a recorder.
struct BurnOptions {
    HostId host;
    Incarnation incarnation;
    // The organisations of a model with a series of their own: those with most requests lately.
    std::size_t organisationsPerModel = 50;
    // The organisations without one whose requests are counted, to see whether one should get one.
    std::size_t candidatesPerModel = 1000;
    // A candidate must have this many times the requests of the one that it replaces.
    double replacementFactor = 2;
};

// Counts one host's requests against their objectives. Its memory does not grow
// with the number of organisations. Not thread-safe.
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
