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
    ClockStopsWhileSuspended,
};

// The clocks of the hosts differ by this much.
constexpr int clockOffset = 9;
constexpr int boundTicks = 2;
constexpr int lastTick = 4;
constexpr int none = -1;

// The states of the store, in their order. It comes back from an older copy once, in a new era, and then the
// manifest without the key is written, with a version that was given out before.
struct StoredManifest {
    StoreVersion version;
    bool hasKey;
};
const std::array<StoredManifest, 4> manifests { {
    { { StoreEra(1), RowVersion(1) }, true },
    { { StoreEra(1), RowVersion(2) }, true },
    { { StoreEra(2), RowVersion(1) }, true },
    { { StoreEra(2), RowVersion(2) }, false },
} };
constexpr int removal = 3;

struct ModelHost {
    // Indices into the manifests, or none.
    int copy = none;
    int provenTick = none;
    int provenManifest = none;
    // Ticks in which the process was suspended, which the boot clock counts too.
    int suspended = 0;
};

struct State {
    int now = 0;
    int store = 0;
    int removedAt = none;
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
        for (const int each :
            { now, store, removedAt, askedAt, answer, heardProbe, framed, frameRows, frameProof, frameAge,
                frameProbe, reader.copy, reader.provenTick, reader.provenManifest, reader.suspended,
                follower.copy, follower.provenTick, follower.provenManifest, follower.suspended })
            text += static_cast<char>(each);
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

    static ManifestFreshness freshnessOf(const ModelHost& host)
    {
        RevocationBounds bounds;
        bounds.strict = true;
        bounds.time = std::chrono::seconds(boundTicks);
        ManifestFreshness freshness(bounds, bounds.time, at(0));
        if (host.copy == none)
            return freshness;
        const auto copy = manifests.at(host.copy).version;
        freshness.onCopy(copy, true);
        if (host.provenTick != none)
            freshness.onProof({ at(host.provenTick), manifests.at(host.provenManifest).version }, copy);
        return freshness;
    }

    bool mayServeRemovedKey(const State& state, const ModelHost& host, int offset)
    {
        if (host.copy == none || !manifests.at(host.copy).hasKey)
            return false;
        const auto now = at(clock(state, host, offset));
        if (!freshnessOf(host).keyTrust(now, now).serves)
            return false;
        ++m_serving;
        // A caller sends a request now.
        return state.removedAt != none && state.now > state.removedAt + boundTicks;
    }

    // Applies rows and a proof with the code under test.
    void learn(ModelHost& host, int rows, int provenTick, int provenManifest) const
    {
        auto freshness = freshnessOf(host);
        if (rows != none
            && (host.copy == none || manifests.at(host.copy).version < manifests.at(rows).version)) {
            host.copy = rows;
            freshness.onCopy(manifests.at(rows).version, true);
        }
        if (host.copy == none)
            return;
        ManifestProof proof { at(provenTick), {} };
        auto copy = manifests.at(host.copy).version;
        if (provenManifest != none) {
            proof.version = manifests.at(provenManifest).version;
            if (m_flaw == Flaw::OlderCopy)
                proof.version = copy;
            if (m_flaw == Flaw::EraIgnored && proof.version.version.count() <= copy.version.count())
                proof.version = copy;
            freshness.onProof(proof, copy);
        }
        host.provenTick = host.provenManifest = none;
        if (const auto& kept = freshness.proof()) {
            const auto since = kept->provenAt - at(0);
            host.provenTick
                = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(since).count());
            for (int i = 0; i < static_cast<int>(manifests.size()); ++i) {
                if (manifests.at(i).version == kept->version)
                    host.provenManifest = i;
            }
        }
    }

    // Times that are older than the bound make no difference among each other.
    void shorten(State& state) const
    {
        for (auto [host, offset] : { std::pair(&state.reader, 0), std::pair(&state.follower, clockOffset) }) {
            if (host->provenTick != none && host->provenTick <= clock(state, *host, offset) - boundTicks)
                host->provenTick = host->provenManifest = none;
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
        for (int sleeping = 0; state.now < lastTick && sleeping < 4; ++sleeping) {
            if (m_flaw != Flaw::ClockStopsWhileSuspended && sleeping > 0)
                break;
            apply(state, [sleeping](State& next) {
                ++next.now;
                next.reader.suspended += sleeping & 1;
                next.follower.suspended += sleeping >> 1;
            });
        }
        if (state.store < removal)
            apply(state, [](State& next) {
                if (++next.store == removal)
                    next.removedAt = next.now;
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
                learn(next.reader, next.answer, provenTick, next.answer);
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
                learn(next.follower, next.frameRows, provenTick, next.frameProof);
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
        Flaw::EraIgnored, Flaw::ClockStopsWhileSuspended);
    CAPTURE(static_cast<int>(flaw));
    FreshnessModel model(flaw);
    CHECK_FALSE(model.search());
}
