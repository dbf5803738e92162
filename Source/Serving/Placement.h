#pragma once

#include "Core/DataCentre.h"
#include "Core/Deadline.h"
#include "Core/RandomSource.h"
#include "Serving/BackendTable.h"
#include "Serving/EngineSpec.h"
#include "Serving/EngineSpeedModel.h"
#include "Serving/PromptShape.h"
#include "Serving/StreamRequirements.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace almondscale {

// Parameters of the choice of a backend server.
struct PlacementOptions {
    // The speed of a service's engines; by default that of an unknown fleet.
    std::function<EngineSpeedModel(const ServiceName&)> speedOf
        = [](const ServiceName&) { return EngineSpeedModel(); };
    // Recomputing a cached prefix also delays other requests and evicts another prefix. It is charged this
    // many times its own time, in addition to that time. 5 to 15 performed alike on both small sites; 3 and
    // less were worse.
    double recomputeFactor = 5;
    // Number of engines that cache each prefix. With two, half of the prefixes are evicted between uses.
    std::size_t prefixCopies = 1;
    // Penalty in milliseconds for a late first event. It does not grow with the delay, so that a request that
    // is late everywhere stays at the engine that caches its prefix.
    double latePenaltyMs = 600;
    // Work is deferred if its expected time exceeds this share of the time left: a prefill, or a stream that
    // has to wait for a slot. Above 1, the queue of an overload settles at a length at which all requests are
    // late.
    double deferFactor = 1;
    // Penalty in milliseconds per rank of an engine for the prefix, so that all hosts prefer the same engine
    // for a second copy, and so on.
    double rankPenaltyMs = 10;
    // Upper bound of the rank penalty as a share of the recomputation penalty.
    double maxRankPenaltyShare = 0.05;
    // A prefix is assumed to be cached for this long after it was last sent to an engine.
    Nanoseconds prefixLifetime = std::chrono::seconds(30);
    // Engines started before this time, in milliseconds since 1970, are assumed to have cached their prefixes
    // before this host started. Unset if the whole system is new.
    std::optional<std::int64_t> warmBeforeMs = 0;
    // Penalty in milliseconds for another data centre: the round trip and the longer transfer of a KV cache.
    double crossDataCentreMs = 6;
    // Prefill speed of a decode engine as a share of a prefill engine's speed.
    double directPrefillSpeed = 0.5;
    // Share of the allowed pause between events that a decode engine may spend on all prompts it prefills at
    // a time.
    double directPauseShare = 0.3;
    // Cost of a millisecond of such prefill for each stream stalled by it.
    double directStallWeight = 0.15;
    // In a fleet of uneven speed, a host compares at least this many engines of each data centre, drawn in
    // proportion to their speed: one alone would get its share of the requests whatever its speed.
    std::size_t minUnevenCompared = 2;
    // Number of hosts that send to the same engines.
    std::function<int()> hosts = [] { return 1; };
    // Load reports of other hosts arrive late, so that many hosts would choose the same engine. Up to this
    // number of hosts, each compares all decode engines; with more hosts, each compares a random subset that
    // shrinks in proportion.
    int fullComparisonHosts = 8;
    // Draws the engines to compare.
    RandomSource random = seededRandom(1);
    // Share of an engine's memory that running requests may fill.
    double maxMemoryShare = 0.92;
};

// The chosen server with the expected times.
struct PlacementChoice {
    BackendId backend;
    // Milliseconds until the work is done.
    double expectedMs = 0;
    // Milliseconds for which the work occupies a server of nominal speed, and until it is done there.
    double workMs = 0;
    double nominalMs = 0;
    // Milliseconds of work queued ahead, at nominal speed.
    double queuedMs = 0;
    // Tokens of the prompt that the server is assumed to have cached.
    TokenCount cached;
    // The request would be late everywhere and yields to requests that can be in time.
    bool deferred = false;
    // How much longer the server is expected to take than the typical one, and the number of its open
    // streams.
    double factor = 1;
    int running = 0;

    // How far the expected time tells the speed of the server: 1 without a queue, whose length is only an
    // estimate, and less the longer the queue is.
    double sampleWeight() const { return nominalMs > 0 ? std::max(0.0, 1 - 4 * queuedMs / nominalMs) : 0; }
    // Load that the prefill adds to its engine.
    BackendLoad prefillLoad() const { return { deferred ? 0 : workMs, 0, 0, deferred ? workMs : 0 }; }
    // Load that a stream of the prompt adds to its engine.
    BackendLoad streamLoad(TokenCount prompt) const
    {
        return { 0, 1, static_cast<double>(prompt.count()), deferred ? workMs : 0 };
    }
};

// Chooses backend servers by expected completion time. Prefixes of long prompts do not all fit into one
// engine's memory, so each prefix ranks the prefill engines, equally at all hosts; a request leaves the first
// engine if it would be late there, and then mostly goes to the second. If demand exceeds the capacity of all
// engines, requests that are late in any case yield to those that can be in time.
class Placement {
public:
    using Excluded = std::set<BackendId>;

    Placement(const BackendTable&, DataCentre, PlacementOptions = {});

    // `targetTime` is when the prefill has to be done for the first event to be in time.
    std::optional<PlacementChoice> choosePrefill(const ServiceName&, const PromptShape&, const Excluded&,
        Deadline targetTime, MonotonicTime now) const;
    // The decode engine for a prompt that was prefilled in the given data centre.
    std::optional<PlacementChoice> chooseDecode(const ServiceName&, const EngineSpec&, const PromptShape&,
        const StreamRequirements&, const DataCentre& prefilledIn, const Excluded&, MonotonicTime now) const;
    // A decode engine that has room to prefill the prompt itself while its streams wait; none if that takes
    // longer than the pause that their callers allow.
    std::optional<PlacementChoice> chooseDirect(const ServiceName&, const EngineSpec&, const PromptShape&,
        Nanoseconds allowedPause, const Excluded&, MonotonicTime now) const;
    // A server of a service without engines.
    std::optional<PlacementChoice> choosePlain(const ServiceName&, const Excluded&, MonotonicTime now) const;

    const PlacementOptions& options() const { return m_options; }

private:
    struct PrefillQuery;
    struct DecodeQuery;
    std::optional<PlacementChoice> bestPrefill(const PrefillQuery&, bool deferred) const;
    // The engines to compare: a random subset of each data centre if there are many hosts.
    std::vector<const Backend*> drawCompared(const std::vector<const Backend*>&, EngineRole) const;
    std::vector<const Backend*> decodeEngines(const ServiceName&, const Excluded&, MonotonicTime now) const;
    // The engines by descending rank for the prefix.
    std::vector<std::pair<double, const Backend*>> rankForPrefix(
        std::uint64_t prefixHash, const std::vector<const Backend*>&) const;
    std::optional<PlacementChoice> bestDecode(const DecodeQuery&, bool deferred) const;
    bool hasPrefix(const Backend&, const PromptShape&, bool home, MonotonicTime now) const;

    const BackendTable& m_backends;
    DataCentre m_dataCentre;
    PlacementOptions m_options;
};

} // namespace almondscale
