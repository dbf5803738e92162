#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale::standin {

// Lets through a number of calls a second, with bursts of up to a second's worth.
class RateLimit {
public:
    explicit RateLimit(double perSecond);

    bool allow(MonotonicTime now);

private:
    double m_perSecond;
    double m_tokens;
    MonotonicTime m_last {};
};

} // namespace almondscale::standin
