#pragma once

#include "Core/MonotonicTime.h"
#include "Dispatch/CrashStrikes.h"
#include "PeerPush.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondscale {

// What the guard needs of the host.
struct CrashGuardHooks {
    Clock clock;
    // Shares a strike record with all hosts, and takes it back.
    std::function<void(const std::string& key, const std::string& value)> publish;
    std::function<void(const std::string& key)> retract;
    // Tells the other hosts at once and waits until they know.
    std::function<void(const std::vector<PushedItem>&)> push;
};

// Knows which requests run on which engines and which of them crash engines; safe for use by many threads.
class CrashGuard {
public:
    // All keys of shared strike records begin so.
    static constexpr const char* itemPrefix = "strike/";

    explicit CrashGuard(CrashGuardHooks);

    StrikeVerdict verdict(Fingerprint);
    bool anySuspect() const;

    // Whether any request of this host runs on the engine.
    bool runs(const EngineId&) const;
    void started(const EngineInstance&, Fingerprint);
    void ended(const EngineInstance&, Fingerprint);
    // The engine crashed while the request was on it; to be called before ended().
    void crashed(const EngineInstance&, Fingerprint, bool alone);
    void completedAlone(Fingerprint);

    // Takes in a record that another host shares.
    void merge(const std::string& value);

private:
    void shareChanges(const std::vector<StrikeRecord>&, MonotonicTime now);

    CrashGuardHooks m_hooks;
    mutable std::mutex m_mutex;
    CrashStrikes m_strikes;
    std::map<EngineInstance, std::multiset<Fingerprint>> m_running;
};

// A strike record as text for the other hosts, and back.
std::string encodeStrike(const StrikeRecord&, MonotonicTime now);
std::optional<StrikeRecord> decodeStrike(const std::string&, MonotonicTime now);

} // namespace almondscale
