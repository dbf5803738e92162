#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/ServerSpeeds.h"

#include <map>

namespace almondscale {

// The samples of servers' speeds that a host exchanges with other hosts over its links. A sum has the samples
// of each host once: what came from the reader or from other data centres is passed on only to the hosts that
// this reader serves. Sums decay alike at both ends of a link, so that only sums with new samples are sent.
class SpeedExchange {
public:
    using Sums = ServerSpeeds::Sums;
    // Identifies a link while it is open.
    using Link = const void*;

    // Sums received over the link replace the last ones of the same servers. The link leads to a follower: a
    // host that has this host as its reader.
    void receive(Link, bool follower, const Sums&, MonotonicTime now);
    // The link has closed.
    void remove(Link);
    // The samples of all other hosts.
    Sums remoteSums(MonotonicTime now);
    // The sums to send over the link, at most so many; `local` are the samples of this host.
    Sums changesFor(Link, bool follower, const Sums& local, std::size_t maxCount, MonotonicTime now);

private:
    struct Sum {
        ServerSpeed speed;
        MonotonicTime at {};

        ServerSpeed value(MonotonicTime now) const;
    };

    struct LinkState {
        bool follower = false;
        std::unordered_map<std::uint64_t, Sum> received;
        std::unordered_map<std::uint64_t, Sum> sent;
        // The next changes are looked for behind this server.
        std::uint64_t lastSent = 0;
    };

    void sumUp(MonotonicTime now);

    std::map<Link, LinkState> m_links;
    // Of all links, and of those to followers, as of m_summedAt.
    Sums m_total;
    Sums m_followers;
    MonotonicTime m_summedAt {};
    bool m_stale = true;
};

} // namespace almondscale
