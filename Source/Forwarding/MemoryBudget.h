#pragma once

#include "Forwarding/MemoryPolicy.h"

#include <array>
#include <functional>
#include <map>
#include <memory>

namespace almondscale {

// The memory of a host that is held for callers and servers. Each holder is charged for what it keeps; when
// the memory runs short, holders stop reading, and some are ended.
class MemoryBudget {
    struct Account;

public:
    // A message or connection that holds memory. The destructor releases it.
    class Holder {
    public:
        struct Hooks {
            // The holder may read again.
            std::function<void()> onGrant;
            // The holder must release its memory soon.
            std::function<void(MemoryEnd)> onEnd;
        };

        // The fixed bytes are charged in all phases.
        Holder(MemoryBudget&, std::size_t fixedBytes, MemoryPhase, MonotonicTime now, Hooks);
        ~Holder();
        Holder(const Holder&) = delete;
        Holder& operator=(const Holder&) = delete;

        MemoryPhase phase() const { return m_use.phase; }
        void setPhase(MemoryPhase, MonotonicTime now);
        // Sets what is held and how much more the message may need.
        void setBytes(std::size_t bytes, std::size_t remaining = 0);
        // Bytes were received or sent.
        void noteProgress(MonotonicTime now);
        // Whether the message may grow by the bytes now. If not, the holder waits; it is not considered
        // stalled.
        bool mayGrow(std::size_t bytes, MonotonicTime now);

    private:
        friend class MemoryBudget;

        MemoryBudget& m_budget;
        // Holders that coroutines keep may be destroyed after the budget.
        std::shared_ptr<Account> m_account;
        std::size_t m_fixedBytes;
        Hooks m_hooks;
        MemoryUse m_use;
        bool m_granted = false;
        // Whether the last mayGrow() was refused.
        bool m_waiting = false;
        bool m_ended = false;
    };

    static constexpr std::size_t defaultBytes = 24 << 20;

    explicit MemoryBudget(std::size_t bytes = defaultBytes)
        : m_policy(bytes)
        , m_account(std::make_shared<Account>())
    {
    }

    // Part of the memory of a machine that is available for callers and servers.
    static std::size_t bytesFor(std::size_t machineBytes);

    void setSize(std::size_t bytes) { m_policy = MemoryPolicy(bytes); }
    std::size_t size() const { return m_policy.size(); }
    std::size_t heldBytes() const;
    std::size_t heldBytes(MemoryPhase phase) const
    {
        return m_account->held.at(static_cast<std::size_t>(phase));
    }
    bool isShort() const { return m_policy.isShort(committedBytes()); }
    // Whether the bytes fit into the whole budget.
    bool hasRoom(std::size_t bytes) const { return committedBytes() + bytes <= size(); }
    // Part of the budget that only connections to servers use.
    std::size_t serverBytes() const { return size() / 8; }
    // How many holders were ended, by reason.
    std::uint64_t ended(MemoryEnd reason) const { return m_ended.at(static_cast<std::size_t>(reason)); }

    // Ends the connection that was idle the longest. Returns false if there is none.
    bool endOldestIdle();
    // Applies a new decision.
    void sweep(MonotonicTime now);
    // As sweep(), at most once per interval.
    void sweepIfDue(MonotonicTime now);

    // Memory that is held without holders, such as connections to servers.
    std::function<std::size_t()> otherBytes = {};

private:
    // The holders, and the bytes that they hold in each phase.
    struct Account {
        std::map<std::uint64_t, Holder*> holders;
        std::uint64_t nextId = 1;
        std::array<std::size_t, memoryPhaseCount> held {};

        std::size_t& heldIn(MemoryPhase phase) { return held.at(static_cast<std::size_t>(phase)); }
    };

    void end(Holder& holder, MemoryEnd reason);
    // What is held by holders, and what is held or reserved for others.
    std::size_t committedBytes() const;

    MemoryPolicy m_policy;
    std::shared_ptr<Account> m_account;
    std::array<std::uint64_t, memoryEndCount> m_ended {};
    MonotonicTime m_nextSweep {};
};

} // namespace almondscale
