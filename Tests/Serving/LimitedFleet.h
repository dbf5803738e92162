#pragma once

#include "Core/RandomSource.h"
#include "Serving/ServerLimits.h"
#include "ServingFixtures.h"

#include <cmath>
#include <functional>
#include <memory>
#include <vector>

namespace almondscale {

// Hosts with callers of one service, whose servers have limits. The hosts exchange their traffic over delayed
// frames.
class LimitedFleet {
public:
    struct Host {
        explicit Host(std::uint64_t seed)
            : limits(seededRandom(seed))
        {
        }

        ServerLimits limits;
        // Hosts of other groups are not heard.
        int group = 0;
        // The host neither sends nor exchanges frames until then.
        MonotonicTime pausedUntil {};
        double requestsPerSecond = 0;
        std::vector<FleetTraffic> sent;
    };

    LimitedFleet(int hosts, int servers, std::uint64_t seed)
        : m_random(seededRandom(seed))
        , m_arrivals(static_cast<std::size_t>(servers))
    {
        for (int i = 0; i < servers; ++i)
            m_servers.push_back({ BackendId("s" + std::to_string(i)), 1 });
        for (int i = 0; i < hosts; ++i) {
            addHost();
            m_hosts.back()->limits.setHostCount(hosts);
        }
    }

    Host& addHost()
    {
        m_hosts.push_back(std::make_unique<Host>(m_random()));
        return *m_hosts.back();
    }

    void restart(int host)
    {
        const auto rate = m_hosts[host]->requestsPerSecond;
        const auto group = m_hosts[host]->group;
        m_hosts[host] = std::make_unique<Host>(m_random());
        m_hosts[host]->requestsPerSecond = rate;
        m_hosts[host]->group = group;
        m_hosts[host]->limits.setHostCount(static_cast<int>(m_hosts.size()));
        for (const auto& other : m_hosts) {
            std::uint64_t version = 0;
            for (const auto& statement : other->limits.changesSince(version, 64))
                m_hosts[host]->limits.noteRelayed(statement, now);
        }
    }

    // All hosts receive a response that names the limit.
    void name(int server, std::optional<RequestRate> rate)
    {
        for (const auto& host : m_hosts)
            host->limits.noteResponse(m_servers[server], rate, now, now);
    }

    // Plays requests that arrive at random times; a request takes the first server with room.
    void run(Nanoseconds time)
    {
        const auto end = now + time;
        while (now < end) {
            now += step;
            if (now >= m_nextFrame) {
                exchange();
                m_nextFrame = now + frameInterval;
            }
            for (const auto& host : m_hosts) {
                const double share = host->requestsPerSecond * std::chrono::duration<double>(step).count();
                int requests
                    = static_cast<int>(share) + (uniform(m_random) < share - std::floor(share) ? 1 : 0);
                for (; requests > 0; --requests)
                    request(*host);
            }
        }
    }

    // The largest number of requests that the server got in any window since the time.
    int mostInWindow(int server, Nanoseconds window, MonotonicTime since) const
    {
        const auto& times = m_arrivals[server];
        int most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[first] <= times[last] - window || times[first] < since) {
                if (first == last)
                    break;
                ++first;
            }
            if (times[last] >= since)
                most = std::max(most, static_cast<int>(last - first) + 1);
        }
        return most;
    }

    int arrivedSince(int server, MonotonicTime since) const
    {
        int count = 0;
        for (const auto at : m_arrivals[server])
            count += at >= since ? 1 : 0;
        return count;
    }

    Host& host(int index) { return *m_hosts[index]; }
    int hostCount() const { return static_cast<int>(m_hosts.size()); }
    const BackendLifetime& server(int index) const { return m_servers[index]; }

    MonotonicTime now = testStart;

private:
    static constexpr Nanoseconds step = std::chrono::milliseconds(10);
    // The longest interval of frames, of which three are under way between hosts of different data centres.
    static constexpr Nanoseconds frameInterval = std::chrono::milliseconds(200);
    static constexpr std::size_t framesUnderWay = 3;

    void request(Host& host)
    {
        if (now < host.pausedUntil)
            return;
        host.limits.onRequest(model, now);
        const auto first = uniformBelow(m_random, m_servers.size());
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const auto server = (first + i) % m_servers.size();
            if (!host.limits.hasRoom(m_servers[server], model, now))
                continue;
            host.limits.count(m_servers[server], model, now);
            m_arrivals[server].push_back(now);
            return;
        }
    }

    void exchange()
    {
        std::map<int, FleetTraffic> sums;
        for (const auto& host : m_hosts) {
            if (now >= host->pausedUntil)
                host->sent.push_back(host->limits.localTraffic(now));
            if (host->sent.size() > framesUnderWay)
                sums[host->group] += host->sent[host->sent.size() - 1 - framesUnderWay];
        }
        for (const auto& host : m_hosts) {
            if (now < host->pausedUntil)
                continue;
            auto others = sums[host->group];
            if (host->sent.size() > framesUnderWay)
                others -= host->sent[host->sent.size() - 1 - framesUnderWay];
            host->limits.setRemoteTraffic(others);
        }
    }

    RandomSource m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<BackendLifetime> m_servers;
    std::vector<std::vector<MonotonicTime>> m_arrivals;
    MonotonicTime m_nextFrame {};
};

} // namespace almondscale
