#pragma once

#include "Core/MonotonicTime.h"
#include "Core/ServiceName.h"
#include "Serving/BackendLifetime.h"
#include "Serving/BackendTable.h"
#include "Serving/ServerSpeed.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace almondscale {

// Parameters of the factors of servers.
struct ServerSpeedOptions {
    // Weight of the assumption that a server is typical, in samples, in an uneven fleet and in one that is
    // not known to be uneven.
    double priorSamples = 2;
    double evenPriorSamples = 10;
    // Samples of the last half second, more or less, from which on a temporary slow-down is told.
    double minRecentSamples = 3;
    // A server whose recent times exceed its steady ones by this factor is slowed down temporarily, if they
    // do so by this many standard errors.
    double minSlowDown = 1.5;
    double minSlowDownErrors = 3;
    // The servers of a service count as uneven if the ratio of the decode factors of the slowest and the
    // fastest eighth reaches the first bound, and until it falls below the second one. Samples of equal
    // servers stay below it.
    double unevenSpread = 1.4;
    double evenSpread = 1.25;
    // The same for prefill. Queues that are not known yet differ between servers of equal speed, up to a
    // ratio of 1.5 in the first seconds of a fleet.
    double unevenPrefillSpread = 1.8;
    double evenPrefillSpread = 1.5;
    // In an even fleet, a single server differs from the others if its factor is above these. A fast one does
    // not, since all hosts would prefer it.
    double slowDecode = 1.6;
    double slowPrefill = 2;
};

// Measures how fast each server is compared with the typical server of its service, for prefill and decode
// separately, from the times that this host and the others observed. Servers of an even fleet have factors of
// exactly 1. Not thread-safe.
class ServerSpeeds {
public:
    // By the hash of the server's lifetime, so that a restarted server begins without samples.
    using Sums = std::unordered_map<std::uint64_t, ServerSpeed>;

    explicit ServerSpeeds(ServerSpeedOptions = {});

    // Equal on all hosts.
    static std::uint64_t keyOf(const BackendLifetime&);
    // The share of a sum that is left after the time.
    static double decay(Nanoseconds);

    // Adds the time of a prefill or of a decode step, with the time expected of a typical server. The weight
    // is lower if the expected time is uncertain.
    void notePrefill(const BackendLifetime&, double takenMs, double expectedMs, double weight, MonotonicTime);
    void noteDecode(const BackendLifetime&, double takenMs, double expectedMs, double weight, MonotonicTime);

    // The samples of this host.
    Sums localSums(MonotonicTime now) const;
    // Replaces the samples of all other hosts.
    void setRemoteSums(Sums, MonotonicTime now);

    // Determines the factors of all servers in the table.
    void update(BackendTable&, MonotonicTime now);

private:
    // Logarithms of the factors of one server, with the weight of their samples.
    struct Estimate {
        BackendId backend;
        ServerSpeed steady;
        ServerSpeed recent;
        double prefill = 0;
        double decode = 0;
        // The server differs from the typical one.
        bool differs = false;
    };

    // Exponentially decaying sums as of a time.
    struct Decaying {
        ServerSpeed sums;
        MonotonicTime at {};

        ServerSpeed value(MonotonicTime now, double timeConstantSeconds) const;
        void add(const ServerSpeed&, MonotonicTime now, double timeConstantSeconds);
    };

    void note(const BackendLifetime&, const ServerSpeed& sample, MonotonicTime now);
    // Subtracts the median of the servers with samples.
    static void normalise(std::vector<Estimate>&);
    // Shrinks the means towards 0.
    static void shrink(std::vector<Estimate>&, double priorSamples);
    // Whether the estimates, shrunk by the prior of an even fleet, differ more than by chance.
    bool isUneven(const ServiceName&, const std::vector<Estimate>&);
    // Whether a server in an even fleet is slower than all others.
    bool isSlowOutlier(const Estimate&) const;
    // The ratio of the factors of the slowest and the fastest eighth of the servers.
    static double spread(const std::vector<Estimate>&, double Estimate::*factor, double ServerSpeed::*weight);
    // The factor with a temporary slow-down.
    double currentFactor(double steadyFactor, double steadyMean, double sum, double weight) const;

    ServerSpeedOptions m_options;
    std::unordered_map<std::uint64_t, Decaying> m_local;
    std::unordered_map<std::uint64_t, Decaying> m_recent;
    Sums m_remote;
    MonotonicTime m_remoteAt {};
    std::map<ServiceName, bool> m_uneven;
};

} // namespace almondscale
