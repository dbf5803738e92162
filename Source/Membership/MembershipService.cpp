#include "Membership/MembershipService.h"

#include "Core/BoundedQueue.h"
#include "Core/ErrorKind.h"
#include "Core/LogEvent.h"
#include "Membership/FrameAuthenticator.h"
#include "Membership/Membership.h"
#include "Membership/PeerReceiver.h"
#include "Membership/PeerSender.h"

#include <atomic>
#include <exception>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace almondscale {

namespace {

    constexpr std::size_t receivedCapacity = 4096;
    constexpr std::size_t outgoingCapacity = 4096;
    constexpr int framePollTimeoutMs = 10;
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    constexpr auto rejectionLogInterval = std::chrono::seconds(10);
    // Several push intervals.
    constexpr auto leavePropagationTime = std::chrono::milliseconds(600);

} // namespace

class MembershipService::Impl {
public:
    Impl(const MembershipServiceSettings& settings, MembershipObservers observers)
        : m_settings(settings)
        , m_observers(std::move(observers))
        , m_clock(monotonicClock())
        , m_received(receivedCapacity)
        , m_outgoing(outgoingCapacity)
        , m_membership(settings.membership, hooks())
        , m_receiver(settings.listen, settings.membership.address, m_keys, m_transportCounters, m_received,
              receivedCapacity)
        , m_sender(m_keys, m_transportCounters, m_outgoing)
    {
    }

    ~Impl() { stop(); }

    std::error_code start()
    {
        if (!m_keys.setKeys(m_settings.keys))
            return rejectKeys();
        try {
            m_receiver.start();
        } catch (const std::exception& error) {
            LogEvent("peer_port_not_opened", LogLevel::Error)
                .with("address", m_settings.listen.text())
                .with("error", error.what())
                .with("remedy", "free the port or change the control address in the settings");
            return ErrorKind::SettingsInvalid;
        }
        m_sender.start();
        m_thread = std::thread([this] { tickLoop(); });
        return {};
    }

    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        m_receiver.stop();
        if (m_thread.joinable())
            m_thread.join();
        m_sender.stop();
    }

    void leave()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_membership.leave();
        }
        std::this_thread::sleep_for(leavePropagationTime);
    }

    std::error_code setKeys(const FrameKeys& keys)
    {
        if (!m_keys.setKeys(keys))
            return rejectKeys();
        LogEvent("peer_keys_changed").with("accepted", keys.verifyOnly.empty() ? 1 : 2);
        return {};
    }

    // Runs a step with exclusive access to the protocol, which the service's own thread uses as well.
    template <typename Step> auto withLock(Step step)
    {
        const std::lock_guard lock(m_mutex);
        return step(m_membership);
    }

    void request(const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done)
    {
        const std::lock_guard lock(m_mutex);
        m_membership.request(peer, topic, [this, done = std::move(done)](const Result<std::string>& result) {
            m_events.emplace_back([done, result] { done(result); });
        });
    }

    const TransportCounters& transportCounters() const { return m_transportCounters; }

private:
    static std::error_code rejectKeys()
    {
        LogEvent("peer_keys_refused", LogLevel::Error)
            .with("remedy", "give a shared key of at least 16 bytes, the same on all hosts");
        return ErrorKind::SettingsInvalid;
    }

    MembershipHooks hooks()
    {
        MembershipHooks hooks;
        hooks.clock = m_clock;
        hooks.random = systemRandom();
        hooks.send = [this](const Address& to, const std::string& bytes) {
            enqueueFrame({ to, bytes, false });
        };
        hooks.reconnect = [this](const Address& to) { enqueueFrame({ to, {}, true }); };
        hooks.memberChanged = [this](const Member& member) {
            m_events.emplace_back([this, member] { reportMember(member); });
        };
        hooks.itemChanged = [this](const SharedItem& item) {
            if (m_observers.itemChanged)
                m_events.emplace_back([this, item] { m_observers.itemChanged(item); });
        };
        hooks.requestReceived = [this](const PeerRequest& request) {
            m_events.emplace_back([this, request] { handleRequest(request); });
        };
        hooks.newerRulesSeen = [this](const Member& member) {
            if (m_observers.newerRulesSeen)
                m_events.emplace_back([this, member] { m_observers.newerRulesSeen(member); });
        };
        return hooks;
    }

    void handleRequest(const PeerRequest& request)
    {
        const auto content
            = m_observers.handleRequest ? m_observers.handleRequest(request.topic) : std::string();
        withLock([&](Membership& membership) { membership.reply(request, content); });
    }

    void reportMember(const Member& member) const
    {
        LogEvent("member")
            .with("host", member.host)
            .with("address", member.address.text())
            .with("data_centre", member.dataCentre)
            .with("incarnation", member.incarnation)
            .with("state", memberStateName(member.state));
        if (m_observers.memberChanged)
            m_observers.memberChanged(member);
    }

    // Called with m_mutex held, so that the ring cannot fill up after the check.
    void enqueueFrame(const OutgoingFrame& frame)
    {
        if (m_outgoing.size() < outgoingCapacity)
            m_outgoing.push(frame);
        else
            ++m_transportCounters.framesDropped;
    }

    void tickLoop()
    {
        auto nextTick = m_clock();
        while (!m_stopping) {
            const auto frame = m_received.pop(framePollTimeoutMs);
            std::vector<std::function<void()>> events;
            {
                const std::lock_guard lock(m_mutex);
                if (frame)
                    m_membership.onFrame(*frame);
                const auto now = m_clock();
                if (now >= nextTick) {
                    m_membership.tick();
                    nextTick = now + tickInterval;
                }
                events.swap(m_events);
            }
            // Observers may call the service, so the lock is released first.
            for (const auto& event : events)
                event();
            logRejectedFrames();
        }
    }

    // Logs at most one line per interval, so that unauthenticated clients cannot flood the log.
    void logRejectedFrames()
    {
        const auto now = m_clock();
        if (now < m_nextRejectionLog)
            return;
        m_nextRejectionLog = now + rejectionLogInterval;
        const std::uint64_t unauthorised = m_transportCounters.framesUnauthorised;
        const std::uint64_t rejected = counters().framesRejected + m_transportCounters.framesOversized;
        if (unauthorised == m_loggedUnauthorised && rejected == m_loggedRejected)
            return;
        m_loggedUnauthorised = unauthorised;
        m_loggedRejected = rejected;
        LogEvent("peer_frames_refused", LogLevel::Warning)
            .with("unauthorised", unauthorised)
            .with("invalid", rejected);
    }

    MembershipCounters counters()
    {
        return withLock([](const Membership& membership) { return membership.counters(); });
    }

    MembershipServiceSettings m_settings;
    MembershipObservers m_observers;
    Clock m_clock;
    FrameAuthenticator m_keys;
    TransportCounters m_transportCounters;
    BoundedQueue<std::string> m_received;
    BoundedQueue<OutgoingFrame> m_outgoing;
    std::vector<std::function<void()>> m_events;
    std::mutex m_mutex;
    Membership m_membership;
    PeerReceiver m_receiver;
    PeerSender m_sender;
    std::atomic<bool> m_stopping { false };
    MonotonicTime m_nextRejectionLog {};
    std::uint64_t m_loggedUnauthorised = 0;
    std::uint64_t m_loggedRejected = 0;
    std::thread m_thread;
};

MembershipService::MembershipService(const MembershipServiceSettings& settings, MembershipObservers observers)
    : m_impl(std::make_unique<Impl>(settings, std::move(observers)))
{
}

MembershipService::~MembershipService() = default;

std::error_code MembershipService::start() { return m_impl->start(); }

void MembershipService::stop() { m_impl->stop(); }

void MembershipService::leave() { m_impl->leave(); }

std::error_code MembershipService::setKeys(const FrameKeys& keys) { return m_impl->setKeys(keys); }

void MembershipService::setSeeds(std::vector<SeedHost> seeds)
{
    m_impl->withLock([&](Membership& membership) { membership.setSeeds(std::move(seeds)); });
}

std::error_code MembershipService::publish(const std::string& key, const std::string& value, ItemScope scope)
{
    return m_impl->withLock([&](Membership& membership) { return membership.publish(key, value, scope); });
}

void MembershipService::retract(const std::string& key)
{
    m_impl->withLock([&](Membership& membership) { membership.retract(key); });
}

std::vector<SharedItem> MembershipService::items(const std::string& keyPrefix) const
{
    return m_impl->withLock([&](const Membership& membership) { return membership.items(keyPrefix); });
}

void MembershipService::setRules(RulesVersion version)
{
    m_impl->withLock([&](Membership& membership) { membership.setRules(version); });
}

void MembershipService::request(
    const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done)
{
    m_impl->request(peer, topic, std::move(done));
}

std::vector<Member> MembershipService::members() const
{
    return m_impl->withLock([](const Membership& membership) { return membership.members(); });
}

std::optional<Member> MembershipService::member(const HostId& host) const
{
    return m_impl->withLock([&](const Membership& membership) { return membership.member(host); });
}

MembershipCounters MembershipService::counters() const
{
    return m_impl->withLock([](const Membership& membership) { return membership.counters(); });
}

const TransportCounters& MembershipService::transportCounters() const { return m_impl->transportCounters(); }

} // namespace almondscale
