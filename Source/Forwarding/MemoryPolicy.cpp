#include "Forwarding/MemoryPolicy.h"

#include <algorithm>
#include <array>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    // A message that sends nothing for this long while it is read has stopped. Ordinary pauses within a
    // message are retransmissions, of which two take 600 ms.
    constexpr Nanoseconds stallTime = milliseconds(700);
    // Time to read any of a response while memory is short, and in any case.
    constexpr Nanoseconds shortUnreadTime = milliseconds(1000);
    constexpr Nanoseconds unreadTime = milliseconds(4000);
    // Messages that cannot be received are ended only after this long, since others may end by themselves.
    constexpr Nanoseconds noRoomTime = milliseconds(500);
    // A caller that has just been served usually sends its next request within this time.
    constexpr Nanoseconds minIdleTime = milliseconds(1000);

    bool isGrowing(const MemoryUse& use)
    {
        return use.phase == MemoryPhase::Receiving || use.phase == MemoryPhase::Buffering;
    }

    bool hasStalled(const MemoryUse& use, MonotonicTime now)
    {
        return use.phase == MemoryPhase::Receiving && now - use.progressAt >= stallTime;
    }

    // Bytes held, multiplied by the time without progress.
    double weight(const MemoryUse& use, MonotonicTime since, MonotonicTime now)
    {
        return static_cast<double>(use.bytes) * std::chrono::duration<double>(now - since).count();
    }

    // Ends uses for one reason, in the order given, until enough memory is free.
    void endUntil(std::size_t mark, std::size_t& used, std::size_t fixedBytes,
        const std::vector<const MemoryUse*>& uses, MemoryEnd reason, MemoryDecision& decision)
    {
        for (const auto* use : uses) {
            if (used <= mark)
                return;
            decision.ended.emplace_back(use->id, reason);
            used -= std::min(used, use->bytes + fixedBytes);
        }
    }

    // The amount of memory that closing an idle connection sets free.
    constexpr std::size_t idleBytes = 8 << 10;

} // namespace

const char* memoryPhaseName(MemoryPhase phase)
{
    static constexpr std::array<const char*, memoryPhaseCount> names { "idle", "receiving", "running",
        "buffering", "sending" };
    return names.at(static_cast<std::size_t>(phase));
}

const char* memoryEndName(MemoryEnd end)
{
    static constexpr std::array<const char*, memoryEndCount> names { "stalled", "no_room", "unread", "idle" };
    return names.at(static_cast<std::size_t>(end));
}

bool MemoryPolicy::mayGrow(std::size_t bytes, std::size_t more, bool granted, std::size_t used) const
{
    if (isTiny(bytes + more))
        return used + more <= m_size;
    if (isSmall(bytes + more))
        return used + more <= smallMark();
    // Otherwise a growth larger than the gap between the marks would wait although nothing is short.
    if (!isShort(used))
        return used + more <= smallMark();
    return granted && used + more <= largeMark();
}

MemoryDecision MemoryPolicy::decide(
    const std::vector<MemoryUse>& uses, std::size_t used, MonotonicTime now) const
{
    MemoryDecision decision;
    decision.isShort = isShort(used);
    for (const auto& use : uses) {
        const auto time = decision.isShort ? shortUnreadTime : unreadTime;
        if (use.phase == MemoryPhase::Sending && now - use.progressAt >= time)
            decision.ended.emplace_back(use.id, MemoryEnd::Unread);
    }
    if (!decision.isShort)
        return decision;

    std::vector<const MemoryUse*> stalled;
    std::vector<const MemoryUse*> idle;
    std::vector<const MemoryUse*> large;
    std::vector<const MemoryUse*> waiting;
    bool othersEnd = false;
    for (const auto& use : uses) {
        const bool small = isSmall(use.bytes);
        if (hasStalled(use, now))
            stalled.push_back(&use);
        else if (isGrowing(use) && !small)
            large.push_back(&use);
        else if (isGrowing(use) && used > smallMark() && !isTiny(use.bytes) && now - use.since >= noRoomTime)
            waiting.push_back(&use);
        else if (use.phase == MemoryPhase::Idle && now - use.since >= minIdleTime)
            idle.push_back(&use);
        // Requests that run end by their deadline, and responses when they are read.
        othersEnd = othersEnd || (!isGrowing(use) && !small);
    }
    std::sort(stalled.begin(), stalled.end(), [now](const auto* a, const auto* b) {
        return weight(*a, a->progressAt, now) > weight(*b, b->progressAt, now);
    });
    endUntil(shortMark(), used, 0, stalled, MemoryEnd::Stalled, decision);
    std::sort(idle.begin(), idle.end(), [](const auto* a, const auto* b) { return a->since < b->since; });
    endUntil(largeMark(), used, idleBytes, idle, MemoryEnd::Idle, decision);

    // Those that need the least are granted first, so that the most messages complete; of equal ones the
    // oldest.
    std::sort(large.begin(), large.end(), [](const auto* a, const auto* b) {
        return std::pair(a->remaining, a->since) < std::pair(b->remaining, b->since);
    });
    std::size_t free = largeMark() - std::min(largeMark(), used);
    for (const auto* use : large) {
        if (use->remaining <= free) {
            free -= use->remaining;
            decision.granted.push_back(use->id);
        } else if (now - use->since >= noRoomTime) {
            waiting.push_back(use);
        }
    }
    // Without this, messages that wait for each other's memory would all wait until their deadlines.
    if (decision.granted.empty() && decision.ended.empty() && !othersEnd && !waiting.empty()) {
        const auto* most
            = *std::max_element(waiting.begin(), waiting.end(), [now](const auto* a, const auto* b) {
                  return weight(*a, a->since, now) < weight(*b, b->since, now);
              });
        decision.ended.emplace_back(most->id, MemoryEnd::NoRoom);
    }
    return decision;
}

} // namespace almondscale
