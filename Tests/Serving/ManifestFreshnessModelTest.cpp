#include "Serving/ManifestFreshness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <string>
#include <unordered_set>

using namespace almondscale;

namespace {

// Deliberate errors of the protocol.
enum class Flaw {
    None,
    AgeFromResponse,
    AgeFromFrame,
    SendersClock,
    OlderCopy,
    EraIgnored,
    NewEraTrusted,
    OtherManifest,
    ClockStopsWhileSuspended,
};

// The clocks of the hosts differ by this much.
constexpr int clockOffset = 9;
constexpr int boundTicks = 2;
// The operators write again before this time has passed what the store lost.
constexpr int rewriteTicks = 2;
constexpr int lastTick = 5;
constexpr int none = -1;

// The states of the store, in their order. After the manifest without the key it comes back from an older
// copy once, in a new era, in which versions are given out again; then the operators write that manifest
// again.
struct StoredManifest {
    StoreVersion version;
    std::int64_t number;

    bool hasKey() const { return number == 1; }
    ManifestIdentity identity() const { return { number, 0 }; }
};
const std::array<StoredManifest, 4> manifests { {
    { { StoreEra(1), RowVersion(1) }, 1 },
    { { StoreEra(1), RowVersion(2) }, 2 },
    { { StoreEra(2), RowVersion(1) }, 1 },
    { { StoreEra(2), RowVersion(2) }, 2 },
} };
constexpr int removal = 1;
constexpr int restored = 2;
constexpr int rewritten = 3;

struct ModelHost {
    // Indices into the manifests, or none.
    int copy = none;
    int inForce = none;
    int provenTick = none;
    int provenManifest = none;
    // The era of the store, when the host learned of it, and whether another host has proven a manifest in
    // it.
    int era = none;
    int eraSince = none;
    int complete = 0;
    // Ticks in which the process was suspended, which the boot clock counts too.
    int suspended = 0;
};

struct State {
    int now = 0;
    int store = 0;
    int removedAt = none;
    int restoredAt = none;
    // The reader asks the store; the follower gets frames from the reader.
    ModelHost reader, follower;
    // The read that is open: when it was sent, and what the store answered.
    int askedAt = none;
    int answer = none;
    // The follower's stamp that the reader has, and the frame that is on its way.
    int heardProbe = none;
    int framed = none;
    int frameRows = none;
    int frameProof = none;
    int frameAge = 0;
    int frameProbe = none;

    std::string text() const
    {
        std::string text;
        for (const int each : { now, store, removedAt, restoredAt, askedAt, answer, heardProbe, framed,
                 frameRows, frameProof, frameAge, frameProbe })
            text += static_cast<char>(each);
        for (const auto* host : { &reader, &follower }) {
            for (const int each : { host->copy, host->inForce, host->provenTick, host->provenManifest,
                     host->era, host->eraSince, host->complete, host->suspended })
                text += static_cast<char>(each);
        }
        return text;
    }
};

// Searches all interleavings of a store, a reader and a follower. Lost messages, late ones and partitions are
// those that the search does not deliver.
class FreshnessModel {
public:
    explicit FreshnessModel(Flaw flaw)
        : m_flaw(flaw)
    {
    }

    // Returns whether no host may serve the removed key after the bound.
    bool search()
    {
        add(State());
        while (!m_open.empty()) {
            const auto state = m_open.front();
            m_open.pop_front();
            if (mayServeRemovedKey(state, state.reader, 0)
                || mayServeRemovedKey(state, state.follower, clockOffset))
                return false;
            expand(state);
        }
        return true;
    }

    std::size_t states() const { return m_seen.size(); }
    // States in which a host could serve callers with the key, which shows that the search is not vacuous.
    std::size_t serving() const { return m_serving; }

private:
    static MonotonicTime at(int tick) { return MonotonicTime(std::chrono::seconds(100 + tick)); }

    int clock(const State& state, const ModelHost& host, int offset) const
    {
        return state.now + offset - (m_flaw == Flaw::ClockStopsWhileSuspended ? host.suspended : 0);
    }

    static StoreVersion versionOf(int manifest) { return manifests.at(manifest).version; }

    StoreEra eraOf(int manifest) const
    {
        return m_flaw == Flaw::EraIgnored ? StoreEra(1) : versionOf(manifest).era;
    }

    StoreVersion seenVersion(int manifest) const { return { eraOf(manifest), versionOf(manifest).version }; }

    ManifestFreshness freshnessOf(const ModelHost& host) const
    {
        RevocationBounds bounds;
        bounds.strict = true;
        bounds.time = std::chrono::seconds(boundTicks);
        bounds.rewriteTime = std::chrono::seconds(m_flaw == Flaw::NewEraTrusted ? 0 : rewriteTicks);
        ManifestFreshness freshness(bounds, bounds.time, at(0), false);
        if (host.copy == none)
            return freshness;
        freshness.onEra(StoreEra(static_cast<std::uint64_t>(host.era)), at(host.eraSince));
        tellCopy(freshness, host);
        const auto identity = manifests.at(host.inForce).identity();
        if (host.complete)
            freshness.onProof({ at(-100), { StoreEra(static_cast<std::uint64_t>(host.era)), {} }, identity });
        if (host.provenTick != none)
            freshness.onProof({ at(host.provenTick), seenVersion(host.provenManifest),
                manifests.at(host.provenManifest).identity() });
        return freshness;
    }

    void tellCopy(ManifestFreshness& freshness, const ModelHost& host) const
    {
        const auto& inForce = manifests.at(host.inForce);
        freshness.onCopy(
            seenVersion(host.copy), inForce.identity(), manifests.at(host.copy).number == inForce.number);
    }

    bool mayServeRemovedKey(const State& state, const ModelHost& host, int offset)
    {
        if (host.copy == none || !manifests.at(host.inForce).hasKey())
            return false;
        const auto now = at(clock(state, host, offset));
        if (!freshnessOf(host).keyTrust(now, now).serves)
            return false;
        ++m_serving;
        // A caller sends a request now.
        return state.removedAt != none && state.now > state.removedAt + boundTicks;
    }

    void learnRows(ModelHost& host, ManifestFreshness& freshness, int rows, int now) const
    {
        freshness.onEra(eraOf(rows), at(now));
        if (host.era < static_cast<int>(eraOf(rows).count())) {
            host.era = static_cast<int>(eraOf(rows).count());
            host.eraSince = now;
            host.complete = 0;
        }
        if (host.copy != none && host.copy >= rows)
            return;
        host.copy = rows;
        if (host.inForce == none || manifests.at(host.inForce).number < manifests.at(rows).number)
            host.inForce = rows;
        tellCopy(freshness, host);
    }

    // Applies what the reader has read.
    void learnRead(ModelHost& host, int rows, int sentAt, int now) const
    {
        auto freshness = freshnessOf(host);
        learnRows(host, freshness, rows, now);
        freshness.onRead(at(sentAt), seenVersion(rows), seenVersion(host.copy));
        keepProof(host, freshness);
    }

    // Applies rows and a proof that the follower got.
    void learnFrame(ModelHost& host, int rows, int provenTick, int provenManifest, int now) const
    {
        auto freshness = freshnessOf(host);
        if (rows != none)
            learnRows(host, freshness, rows, now);
        if (host.copy == none)
            return;
        ManifestProof proof { at(provenTick), seenVersion(provenManifest),
            manifests.at(provenManifest).identity() };
        if (m_flaw == Flaw::OtherManifest)
            proof.manifest = manifests.at(host.inForce).identity();
        if (m_flaw == Flaw::OlderCopy && proof.version.era == seenVersion(host.copy).era)
            proof.manifest = manifests.at(host.inForce).identity();
        if (freshness.onProof(proof) && static_cast<int>(proof.version.era.count()) == host.era)
            host.complete = 1;
        keepProof(host, freshness);
    }

    void keepProof(ModelHost& host, const ManifestFreshness& freshness) const
    {
        host.provenTick = host.provenManifest = none;
        const auto& kept = freshness.proof();
        if (!kept || kept->provenAt < at(-50))
            return;
        const auto since = kept->provenAt - at(0);
        host.provenTick = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(since).count());
        for (int i = 0; i < static_cast<int>(manifests.size()); ++i) {
            if (seenVersion(i) == kept->version && manifests.at(i).identity() == kept->manifest)
                host.provenManifest = i;
        }
        if (host.provenManifest == none)
            host.provenManifest = host.inForce;
    }

    // Times that are older than the bound make no difference among each other.
    void shorten(State& state) const
    {
        for (auto [host, offset] : { std::pair(&state.reader, 0), std::pair(&state.follower, clockOffset) }) {
            if (host->provenTick != none && host->provenTick <= clock(state, *host, offset) - boundTicks)
                host->provenTick = host->provenManifest = none;
            if (host->eraSince != none)
                host->eraSince = std::max(host->eraSince, clock(state, *host, offset) - rewriteTicks);
        }
        const auto clamp
            = [](int& tick, int now) { tick = tick == none ? none : std::max(tick, now - boundTicks); };
        clamp(state.askedAt, clock(state, state.reader, 0));
        for (int* probe : { &state.heardProbe, &state.frameProbe })
            clamp(*probe, clock(state, state.follower, clockOffset));
    }

    void add(State state)
    {
        shorten(state);
        if (m_seen.insert(state.text()).second)
            m_open.push_back(state);
    }

    void apply(const State& state, const std::function<void(State&)>& change)
    {
        auto next = state;
        change(next);
        add(next);
    }

    void expand(const State& state)
    {
        // Processes that take no step are suspended or slow.
        const bool rewriteIsDue = state.store == restored && state.now + 1 >= state.restoredAt + rewriteTicks;
        for (int sleeping = 0; !rewriteIsDue && state.now < lastTick && sleeping < 4; ++sleeping) {
            if (m_flaw != Flaw::ClockStopsWhileSuspended && sleeping > 0)
                break;
            apply(state, [sleeping](State& next) {
                ++next.now;
                next.reader.suspended += sleeping & 1;
                next.follower.suspended += sleeping >> 1;
            });
        }
        if (state.store < rewritten)
            apply(state, [](State& next) {
                ++next.store;
                if (next.store == removal)
                    next.removedAt = next.now;
                if (next.store == restored)
                    next.restoredAt = next.now;
            });
        apply(state, [this](State& next) {
            next.askedAt = clock(next, next.reader, 0);
            next.answer = none;
        });
        if (state.askedAt != none && state.answer == none)
            apply(state, [](State& next) { next.answer = next.store; });
        if (state.answer != none)
            apply(state, [this](State& next) {
                const bool late = m_flaw == Flaw::AgeFromResponse;
                const auto provenTick = late ? clock(next, next.reader, 0) : next.askedAt;
                learnRead(next.reader, next.answer, provenTick, clock(next, next.reader, 0));
                next.askedAt = next.answer = none;
            });
        // A stamp that arrives late has the same effect as a frame that is made later.
        apply(state, [this](State& next) { next.heardProbe = clock(next, next.follower, clockOffset); });
        expandFrames(state);
        apply(state, [](State& next) {
            next.reader = ModelHost();
            next.askedAt = next.answer = next.heardProbe = none;
        });
        apply(state, [](State& next) {
            next.follower = ModelHost();
            next.heardProbe = next.framed = none;
        });
    }

    void expandFrames(const State& state)
    {
        // A frame has the rows only if the reader takes the follower to lack them.
        for (const bool withRows : { false, true }) {
            if (state.reader.provenTick == none || state.heardProbe == none)
                break;
            apply(state, [this, withRows](State& next) {
                next.framed = 1;
                next.frameRows = withRows ? next.reader.copy : none;
                next.frameProof = next.reader.provenManifest;
                next.frameProbe = next.heardProbe;
                next.frameAge = m_flaw == Flaw::SendersClock
                    ? next.reader.provenTick
                    : clock(next, next.reader, 0) - next.reader.provenTick;
            });
        }
        if (state.framed != none)
            apply(state, [this](State& next) {
                int provenTick = next.frameProbe - next.frameAge;
                if (m_flaw == Flaw::SendersClock)
                    provenTick = next.frameAge + 2 * clockOffset;
                if (m_flaw == Flaw::AgeFromFrame)
                    provenTick = clock(next, next.follower, clockOffset) - next.frameAge;
                learnFrame(next.follower, next.frameRows, provenTick, next.frameProof,
                    clock(next, next.follower, clockOffset));
                next.framed = none;
                next.frameRows = next.frameProof = next.frameProbe = none;
                next.frameAge = 0;
            });
    }

    Flaw m_flaw;
    std::unordered_set<std::string> m_seen;
    std::deque<State> m_open;
    std::size_t m_serving = 0;
};

} // namespace

TEST_CASE("Freshness of the manifest, in every interleaving, lets no removed key serve after the bound")
{
    FreshnessModel model(Flaw::None);
    const bool held = model.search();
    std::cout << "model=freshness states=" << model.states() << " serving=" << model.serving() << '\n';
    CHECK(held);
    CHECK(model.serving() > 0);
}

TEST_CASE("Freshness of the manifest, with a deliberate error, is found to break the bound")
{
    const auto flaw = GENERATE(Flaw::AgeFromResponse, Flaw::AgeFromFrame, Flaw::SendersClock, Flaw::OlderCopy,
        Flaw::EraIgnored, Flaw::NewEraTrusted, Flaw::OtherManifest, Flaw::ClockStopsWhileSuspended);
    CAPTURE(static_cast<int>(flaw));
    FreshnessModel model(flaw);
    CHECK_FALSE(model.search());
}
