#include "Forwarding/MemoryBudget.h"

#include <algorithm>
#include <numeric>

namespace almondscale {

namespace {

    // Long enough that sorting thousands of holders costs little, short enough that the memory above the mark
    // for large messages is not used up in between.
    constexpr Nanoseconds sweepInterval = std::chrono::milliseconds(50);
    // The control traffic and the program itself; docs/design/hard-load.md states this amount.
    constexpr std::size_t controlBytes = 32 << 20;

} // namespace

MemoryBudget::Holder::Holder(
    MemoryBudget& budget, std::size_t fixedBytes, MemoryPhase phase, MonotonicTime now, Hooks hooks)
    : m_budget(budget)
    , m_account(budget.m_account)
    , m_fixedBytes(fixedBytes)
    , m_hooks(std::move(hooks))
{
    m_use.id = m_account->nextId++;
    m_use.phase = phase;
    m_use.since = now;
    m_use.progressAt = now;
    m_account->heldIn(phase) += m_fixedBytes;
    m_account->holders.emplace(m_use.id, this);
}

MemoryBudget::Holder::~Holder()
{
    m_account->heldIn(m_use.phase) -= m_fixedBytes + m_use.bytes;
    m_account->holders.erase(m_use.id);
}

void MemoryBudget::Holder::setPhase(MemoryPhase phase, MonotonicTime now)
{
    if (phase == m_use.phase)
        return;
    m_account->heldIn(m_use.phase) -= m_fixedBytes + m_use.bytes;
    m_account->heldIn(phase) += m_fixedBytes + m_use.bytes;
    m_use.phase = phase;
    m_use.since = now;
    m_use.progressAt = now;
    m_granted = false;
}

void MemoryBudget::Holder::setBytes(std::size_t bytes, std::size_t remaining)
{
    auto& held = m_account->heldIn(m_use.phase);
    held += bytes;
    held -= m_use.bytes;
    m_use.bytes = bytes;
    m_use.remaining = remaining;
}

void MemoryBudget::Holder::noteProgress(MonotonicTime now) { m_use.progressAt = now; }

bool MemoryBudget::Holder::mayGrow(std::size_t bytes, MonotonicTime now)
{
    m_budget.sweepIfDue(now);
    m_waiting = !m_budget.m_policy.mayGrow(m_use.bytes, bytes, m_granted, m_budget.committedBytes());
    if (m_waiting)
        m_use.progressAt = now;
    return !m_waiting;
}

std::size_t MemoryBudget::bytesFor(std::size_t machineBytes)
{
    // Half of what the control traffic leaves; the other half is for the allocator and the kernel.
    const std::size_t left = machineBytes > controlBytes ? (machineBytes - controlBytes) / 2 : 0;
    return std::max(left, machineBytes / 8);
}

std::size_t MemoryBudget::heldBytes() const
{
    return std::accumulate(
        m_account->held.begin(), m_account->held.end(), otherBytes ? otherBytes() : std::size_t(0));
}

std::size_t MemoryBudget::committedBytes() const
{
    const auto reserved = otherBytes ? std::max(otherBytes(), serverBytes()) : 0;
    return std::accumulate(m_account->held.begin(), m_account->held.end(), reserved);
}

bool MemoryBudget::endOldestIdle()
{
    Holder* oldest = nullptr;
    for (const auto& [id, holder] : m_account->holders) {
        if (holder->m_use.phase == MemoryPhase::Idle && !holder->m_ended
            && (!oldest || holder->m_use.since < oldest->m_use.since))
            oldest = holder;
    }
    if (oldest)
        end(*oldest, MemoryEnd::Idle);
    return oldest != nullptr;
}

void MemoryBudget::end(Holder& holder, MemoryEnd reason)
{
    holder.m_ended = true;
    ++m_ended.at(static_cast<std::size_t>(reason));
    if (holder.m_hooks.onEnd)
        holder.m_hooks.onEnd(reason);
}

void MemoryBudget::sweepIfDue(MonotonicTime now)
{
    if (now >= m_nextSweep && isShort())
        sweep(now);
}

void MemoryBudget::sweep(MonotonicTime now)
{
    m_nextSweep = now + sweepInterval;
    std::vector<MemoryUse> uses;
    uses.reserve(m_account->holders.size());
    for (auto& [id, holder] : m_account->holders) {
        if (holder->m_ended)
            continue;
        // A holder that was told to wait has not stalled.
        if (holder->m_waiting)
            holder->m_use.progressAt = now;
        uses.push_back(holder->m_use);
    }
    const auto decision = m_policy.decide(uses, committedBytes(), now);
    for (auto& entry : m_account->holders)
        entry.second->m_granted = false;
    for (const auto id : decision.granted)
        m_account->holders.at(id)->m_granted = true;
    // The hooks may destroy holders.
    for (const auto& [id, reason] : decision.ended) {
        const auto found = m_account->holders.find(id);
        if (found != m_account->holders.end())
            end(*found->second, reason);
    }
    for (const auto& use : uses) {
        const auto found = m_account->holders.find(use.id);
        if (found == m_account->holders.end() || !found->second->m_waiting)
            continue;
        auto& holder = *found->second;
        if (holder.m_hooks.onGrant
            && m_policy.mayGrow(holder.m_use.bytes, 0, holder.m_granted, committedBytes()))
            holder.m_hooks.onGrant();
    }
}

} // namespace almondscale
