#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// The time after which an answer is no longer useful.
class Deadline {
public:
    Deadline() = default;
    explicit Deadline(MonotonicTime at)
        : m_at(at)
    {
    }

    static Deadline never() { return Deadline(MonotonicTime::max()); }
    static Deadline after(MonotonicTime now, Nanoseconds delay) { return Deadline(now + delay); }

    MonotonicTime at() const { return m_at; }
    bool passed(MonotonicTime now) const { return now >= m_at; }
    Nanoseconds remaining(MonotonicTime now) const { return passed(now) ? Nanoseconds(0) : m_at - now; }

    friend bool operator==(Deadline a, Deadline b) { return a.m_at == b.m_at; }
    friend bool operator<(Deadline a, Deadline b) { return a.m_at < b.m_at; }

private:
    MonotonicTime m_at {};
};

} // namespace almondscale
