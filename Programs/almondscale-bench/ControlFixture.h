#pragma once

#include "ControlHost.h"

#include "Core/RandomSource.h"
#include "Membership/FrameAuthenticator.h"
#include "Rules/RulesChange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// How the in-memory link behaves.
struct LinkBehaviour {
    double loss = 0;
    Nanoseconds within = std::chrono::microseconds(300);
    Nanoseconds across = std::chrono::milliseconds(5);
    Nanoseconds toPlatform = std::chrono::milliseconds(5);
    // Whether each frame is signed and checked, as on the peers' port.
    bool sign = false;
};

// Puts a fake clock and an in-memory link under the real control code of some hosts.
class ControlFixture {
public:
    using Tune = std::function<void(MembershipSettings&)>;
    using Cut = std::function<bool(const ControlHost& from, const ControlHost& to)>;
    using Reported = std::function<void(const ControlHost& at, const Member& about)>;

    ControlFixture(std::uint64_t seed, const LinkBehaviour&);
    ~ControlFixture();
    ControlFixture(const ControlFixture&) = delete;
    ControlFixture& operator=(const ControlFixture&) = delete;

    // Changes the settings of hosts started from now on.
    void tune(Tune);
    // Frames for which it answers true are lost.
    void cut(Cut);
    // Called for each change of a member at any host.
    void onReported(Reported);
    // The addresses that hosts started from now on try.
    void seeds(std::vector<SeedHost>);

    ControlHost& start(const HostId&, const Address&, const DataCentre&);
    void kill(const HostId&);
    // A paused host does nothing; its frames wait.
    void pause(const HostId&);
    void resume(const HostId&);
    // Makes a version the newest in the platform's table.
    void applyRules(const RulesChange&);
    // While the platform is down no host can read it.
    void platformDown(bool);
    std::uint64_t platformReads() const { return m_platformReads; }
    // Gives bytes to a host as if a peer had sent them.
    void inject(const HostId&, const std::string& bytes);

    void run(Nanoseconds);
    MonotonicTime now() const { return m_now; }
    ControlHost* find(const HostId&);
    std::vector<ControlHost*> hosts();
    // The number of running hosts that hold the host for live.
    std::size_t holdLive(const HostId&);
    // Whether each running host holds exactly the running hosts for live.
    bool converged();

private:
    // Something that arrives at an address.
    struct Delivery {
        Address from;
        Address to;
        std::string frame;
        std::string code;
    };

    void sendFrame(const Address& from, const Address& to, const std::string& frame);
    bool accepts(const Delivery&) const;
    void deliver(const Delivery&);
    void runTicks();
    void pullRules(ControlHost&, const HostId& peer) const;
    void readPlatform(const ControlHost&, RulesVersion known);
    void answerRead(const Address&, Incarnation, RulesVersion known);
    RulesReplicaHooks keeperHooksFor(ControlHost&);
    ControlHost* at(const Address&);
    MembershipHooks hooksFor(ControlHost&);

    LinkBehaviour m_link;
    FrameAuthenticator m_keys;
    RandomSource m_random;
    MonotonicTime m_now;
    Tune m_tune;
    Cut m_cut;
    Reported m_reported;
    std::vector<SeedHost> m_seeds;
    std::uint64_t m_incarnations = 0;
    std::map<Address, std::unique_ptr<ControlHost>> m_hosts;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::optional<RulesChange> m_rules;
    bool m_platformDown = false;
    std::uint64_t m_platformReads = 0;
};

} // namespace almondscale
