#pragma once

namespace almondscale {

// A number of requests per second.
class RequestRate {
public:
    constexpr RequestRate() = default;
    constexpr explicit RequestRate(double perSecond)
        : m_perSecond(perSecond)
    {
    }

    constexpr double perSecond() const { return m_perSecond; }

    friend constexpr bool operator==(RequestRate a, RequestRate b) { return a.m_perSecond == b.m_perSecond; }
    friend constexpr bool operator!=(RequestRate a, RequestRate b) { return !(a == b); }
    friend constexpr bool operator<(RequestRate a, RequestRate b) { return a.m_perSecond < b.m_perSecond; }

private:
    double m_perSecond = 0;
};

} // namespace almondscale
