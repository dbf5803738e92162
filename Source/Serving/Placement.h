#pragma once

#include "Core/DataCentre.h"
#include "Core/Deadline.h"
#include "Core/RandomSource.h"
#include "Serving/BackendTable.h"
#include "Serving/EngineSpec.h"
#include "Serving/EngineSpeedModel.h"
#include "Serving/PromptShape.h"
#include "Serving/StreamNeeds.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace almondscale {

// Weights of the choice of a backend server.
struct PlacementOptions {
    // The speed of a service's engines; that of a fleet of which nothing is known by default.
    std::function<EngineSpeedModel(const ServiceName&)> speedOf
        = [](const ServiceName&) { return EngineSpeedModel(); };
    // Reading a shared part again delays other requests too, and pushes another part out;
    // it is charged this many times its own cost beside the time that it takes. From 5 to
    // 15 served callers alike on both small sites, 3 and less worse.
    double recomputeFactor = 5;
    // Engines that keep each shared part. With two, half of the parts are pushed out of
    // the engines' memory between uses.
    std::size_t prefixCopies = 1;
    // What an answer that comes late weighs, in milliseconds. Later still weighs no
    // more: a request that is late everywhere stays where its part is.
    double latePenaltyMs = 600;
    // A prefill, and a stream that has to wait for its place, yields to others when it is
    // expected to take more than this part of what is left for it. Above 1 a crowd's queue
    // settles where all of it is late.
    double deferFactor = 1;
    // All hosts prefer the same engine for a part's second copy, and so on.
    double rankPenaltyMs = 10;
    // But no more than this part of what a reread is charged.
    double maxRankPenaltyShare = 0.05;
    // A part is believed to be cached for this long after it was last sent there.
    Nanoseconds prefixLifetime = std::chrono::seconds(30);
    // Engines that started before this, in milliseconds since 1970, are believed to have
    // their parts from before this host started; none when the whole system is new.
    std::optional<std::int64_t> warmBeforeMs = 0;
    // What another data centre must be better by, in milliseconds: the way there
    // and back and the longer transfer of a KV cache.
    double crossDataCentreMs = 6;
    // A decode engine reads prompts at this part of a prefill engine's speed.
    double directPrefillSpeed = 0.5;
    // Part of the pause that callers allow between events, for all prompts that a decode engine
    // reads at a time.
    double directPauseShare = 0.3;
    // What a millisecond of such reading costs for each stream that waits meanwhile.
    double directStallWeight = 0.15;
    // How many hosts send to the same engines.
    std::function<int()> hosts = [] { return 1; };
    // What many hosts know of each other's work is late, and all of them would choose the same
    // engine. So many compare all engines that decode; more hosts as much fewer.
    int fullComparisonHosts = 8;
    // Draws the engines that are compared.
    RandomSource random = seededRandom(1);
    // Part of an engine's memory that running requests may fill.
    double maxMemoryShare = 0.92;
};

// A chosen server and what is expected of it.
struct PlacementChoice {
    BackendId backend;
    // Milliseconds until the work is done there.
    double expectedMs = 0;
    // Milliseconds for which it holds an ordinary server, and until it is done there.
    double workMs = 0;
    double nominalMs = 0;
    // Milliseconds of work that is open in front of it.
    double queuedMs = 0;
    // Tokens of the prompt that the server is believed to keep.
    TokenCount cached;
    // The answer comes late everywhere and yields to those that can be in time.
    bool deferred = false;

    // What the prefill adds to the work of its engine.
    BackendLoad prefillLoad() const { return { deferred ? 0 : workMs, 0, 0, deferred ? workMs : 0 }; }
    // What a stream of the prompt adds to the work of its engine.
    BackendLoad streamLoad(TokenCount prompt) const
    {
        return { 0, 1, static_cast<double>(prompt.count()), deferred ? workMs : 0 };
    }
};

// Chooses backend servers by expected completion. It answers a load of long
// prompts whose shared parts do not fit into one engine's memory: each part has
// an order of prefill engines, the same at all hosts; a request leaves the first
// one when its answer would be late there, and then mostly for the second. Under a
// crowd that is too much for all engines, requests that come late in any case yield to
// those that can be in time.
class Placement {
public:
    using Excluded = std::set<BackendId>;

    Placement(const BackendTable&, DataCentre, PlacementOptions = {});

    // `targetTime` is when the prefill should be done for an answer in time.
    std::optional<PlacementChoice> choosePrefill(const ServiceName&, const PromptShape&, const Excluded&,
        Deadline targetTime, MonotonicTime now) const;
    // The engine that decodes after a prefill in the data centre.
    std::optional<PlacementChoice> chooseDecode(const ServiceName&, const EngineSpec&, const PromptShape&,
        const StreamNeeds&, const DataCentre& prefilledIn, const Excluded&, MonotonicTime now) const;
    // An engine that decodes and has room to read the prompt itself, beside its streams; none if
    // that takes longer than a pause that their callers allow.
    std::optional<PlacementChoice> chooseDirect(const ServiceName&, const EngineSpec&, const PromptShape&,
        Nanoseconds allowedPause, const Excluded&, MonotonicTime now) const;
    // A server of a plain service.
    std::optional<PlacementChoice> choosePlain(const ServiceName&, const Excluded&, MonotonicTime now) const;

    const PlacementOptions& options() const { return m_options; }

private:
    struct PrefillQuery;
    struct DecodeQuery;
    std::optional<PlacementChoice> bestPrefill(const PrefillQuery&, bool deferred) const;
    // Engines that decode, some of each data centre if there are many.
    std::vector<const Backend*> decodeEngines(const ServiceName&, const Excluded&, MonotonicTime now) const;
    std::optional<PlacementChoice> bestDecode(const DecodeQuery&, bool deferred) const;
    bool hasPrefix(const Backend&, const PromptShape&, bool home, MonotonicTime now) const;

    const BackendTable& m_backends;
    DataCentre m_dataCentre;
    PlacementOptions m_options;
};

} // namespace almondscale
