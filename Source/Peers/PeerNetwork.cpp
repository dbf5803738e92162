#include "Peers/PeerNetwork.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/HttpListener.h"
#include "Forwarding/SocketOptions.h"
#include "Peers/PeerLink.h"
#include "Serving/SpeedExchange.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace almondscale {

namespace {

    // Interval at which links are checked and missing ones are made.
    constexpr Nanoseconds linkCheckInterval = std::chrono::milliseconds(200);
    // Connecting within the region takes a few milliseconds.
    constexpr Nanoseconds connectTimeout = std::chrono::milliseconds(250);
    constexpr Nanoseconds firstFramePollInterval = std::chrono::milliseconds(5);
    // Minimum time between two connection attempts to a host.
    constexpr Nanoseconds minRetryInterval = std::chrono::seconds(3);

    // Minimum time between two summations, since a reader receives frames from many hosts. The sum is behind
    // by at most this time and one frame interval.
    constexpr Nanoseconds minSumInterval = std::chrono::milliseconds(10);

    // Further crash records follow in the next frames.
    constexpr std::size_t maxCrashRecordsPerFrame = 64;
    constexpr std::size_t maxLimitsPerFrame = 64;

    // Speeds of servers are sent over a link at this interval, so many at a time: about 1.5 KB/s within a
    // data centre, and half as much between data centres.
    constexpr Nanoseconds speedInterval = std::chrono::seconds(1);
    constexpr std::size_t maxSpeedsPerFrame = 64;
    constexpr std::size_t maxRemoteSpeedsPerFrame = 32;

    // Seeds are tried in turn, one per interval.
    constexpr Nanoseconds seedInterval = std::chrono::milliseconds(400);

    awaitable<std::optional<tcp::socket>> connectTo(Address address)
    {
        // Shared with the timer's handler, which may run after this coroutine has ended.
        const auto shared = std::make_shared<tcp::socket>(co_await boost::asio::this_coro::executor);
        auto& socket = *shared;
        boost::system::error_code error;
        const auto endpoint = endpointOf(address, error);
        if (error)
            co_return std::nullopt;
        socket.open(tcp::v4(), error);
        boost::asio::steady_timer timer(socket.get_executor());
        timer.expires_after(connectTimeout);
        timer.async_wait([shared](const boost::system::error_code& stopped) {
            boost::system::error_code ignored;
            if (!stopped)
                shared->close(ignored);
        });
        const auto [failed] = co_await socket.async_connect(endpoint, noThrow);
        const bool inTime = timer.cancel() > 0;
        if (failed || !inTime) {
            LogEvent("peer_unreachable", LogLevel::Warning)
                .with("address", address.text())
                .with("error", failed.message());
            co_return std::nullopt;
        }
        co_return std::move(socket);
    }

} // namespace

class PeerNetwork::Impl : public std::enable_shared_from_this<PeerNetwork::Impl> {
public:
    Impl(const boost::asio::any_io_executor& executor, HostRecord self, std::vector<Address> seeds,
        RowMirror& mirror, CrashRecords& crashes, Hooks hooks)
        : m_self(std::move(self))
        , m_seeds(std::move(seeds))
        , m_mirror(mirror)
        , m_crashes(crashes)
        , m_hooks(std::move(hooks))
        , m_listener(executor, [this](tcp::socket socket) { addLink(std::move(socket), false); })
    {
    }

    awaitable<void> run()
    {
        for (;;) {
            co_await linkToSeed();
            co_await linkToReader();
            co_await linkToOtherReaders();
            chooseStandIn();
            m_hasCheckedLinks = m_hasCheckedLinks || m_hostsKnown;
            co_await sleepFor(linkCheckInterval);
        }
    }

    bool isReader() const { return m_hasCheckedLinks && !isOpen(m_readerLink); }

    void publish()
    {
        for (const auto& link : m_links)
            link->wake();
    }

    std::shared_ptr<PeerLink> addLink(tcp::socket socket, bool initiated)
    {
        PeerLink::Hooks hooks;
        hooks.makeFrame = [this](PeerLink& link, bool whole) { return makeFrame(link, whole); };
        hooks.onFrame = [this](PeerLink& link, const PeerFrame& frame) { onFrame(link, frame); };
        hooks.linkCount = [this] { return m_links.size(); };
        hooks.onClosed = [this](PeerLink& link) { onClosed(link); };
        auto link = std::make_shared<PeerLink>(std::move(socket), initiated, std::move(hooks));
        m_links.insert(link);
        link->start();
        return link;
    }

    bool lacksDataCentre() const
    {
        std::set<DataCentre> lacking;
        for (const auto& entry : m_hosts)
            lacking.insert(entry.second.dataCentre);
        lacking.erase(m_self.dataCentre);
        for (const auto& link : m_links)
            lacking.erase(link->dataCentre());
        return !lacking.empty();
    }

    bool hasHeardHost() const
    {
        return std::any_of(
            m_links.begin(), m_links.end(), [](const auto& link) { return link->hasCaughtUp(); });
    }

    bool hearsHosts() const { return m_hasCheckedLinks && (isOpen(m_readerLink) || !lacksDataCentre()); }

    bool othersKnowUsageSent(UsageWindow window) const
    {
        return std::all_of(m_links.begin(), m_links.end(), [window](const auto& link) {
            const auto& stated = link->statedUsageSent();
            return link->host().empty() || (stated && stated->window >= window);
        });
    }

    HostRecord m_self;
    std::vector<Address> m_seeds;
    RowMirror& m_mirror;
    CrashRecords& m_crashes;
    Hooks m_hooks;
    HttpListener m_listener;
    std::map<HostId, HostRecord> m_hosts;
    bool m_hostsKnown = false;

private:
    static bool isOpen(const std::shared_ptr<PeerLink>& link) { return link && link->open(); }

    // The hosts of the data centre, highest strength first.
    std::vector<HostRecord> ranked(const DataCentre& dataCentre) const
    {
        std::vector<HostRecord> hosts;
        for (const auto& entry : m_hosts) {
            if (entry.second.dataCentre == dataCentre)
                hosts.push_back(entry.second);
        }
        std::sort(hosts.begin(), hosts.end(), ranksBefore);
        return hosts;
    }

    awaitable<std::shared_ptr<PeerLink>> linkToHost(HostRecord host)
    {
        auto& next = m_nextAttempts[host.id];
        if (!next.passed(bootTime()))
            co_return nullptr;
        next = Deadline::after(bootTime(), minRetryInterval);
        co_return co_await linkToAddress(host.peerAddress);
    }

    // Returns a link to the host at the address, or null if the host's first frame does not arrive.
    awaitable<std::shared_ptr<PeerLink>> linkToAddress(Address address)
    {
        auto socket = co_await connectTo(address);
        if (!socket)
            co_return nullptr;
        const auto link = addLink(std::move(*socket), true);
        while (link->open() && link->host().empty())
            co_await sleepFor(firstFramePollInterval);
        if (!link->host().empty())
            co_return link;
        LogEvent("peer_unanswered", LogLevel::Warning)
            .with("address", address.text())
            .with("received", link->incoming().received)
            .with("expected", link->incoming().expected);
        co_return nullptr;
    }

    // Learns the other hosts from a seed until the table of hosts is known.
    awaitable<void> linkToSeed()
    {
        if (m_hostsKnown || isOpen(m_seedLink)) {
            if (m_hostsKnown && isOpen(m_seedLink))
                m_seedLink->close();
            co_return;
        }
        if (m_seeds.empty() || !m_nextSeed.passed(bootTime()))
            co_return;
        m_nextSeed = Deadline::after(bootTime(), seedInterval);
        std::rotate(m_seeds.begin(), m_seeds.begin() + 1, m_seeds.end());
        m_seedLink = co_await linkToAddress(m_seeds.front());
    }

    // Keeps a link to the strongest reachable host of this data centre, unless that is this host.
    awaitable<void> linkToReader()
    {
        for (const auto& host : ranked(m_self.dataCentre)) {
            if (!ranksBefore(host, m_self) || (isOpen(m_readerLink) && host.id == m_readerId))
                co_return;
            const auto link = co_await linkToHost(host);
            if (!link)
                continue;
            if (isOpen(m_readerLink))
                m_readerLink->close();
            m_readerLink = link;
            m_readerId = host.id;
            LogEvent("reader").with("host", host.id);
            co_return;
        }
    }

    // A reader keeps a link to the reader of each data centre whose name sorts after its own, so that two
    // readers make one link.
    awaitable<void> linkToOtherReaders()
    {
        std::set<DataCentre> others;
        for (const auto& entry : m_hosts) {
            if (m_self.dataCentre < entry.second.dataCentre)
                others.insert(entry.second.dataCentre);
        }
        for (const auto& dataCentre : others) {
            auto& link = m_otherReaderLinks[dataCentre];
            if (!isReader()) {
                if (isOpen(link))
                    link->close();
                continue;
            }
            const auto hosts = ranked(dataCentre);
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                if (isOpen(link) && m_otherReaderIds[dataCentre] == hosts[i].id)
                    break;
                const auto made = co_await linkToHost(hosts[i]);
                if (!made)
                    continue;
                if (isOpen(link))
                    link->close();
                link = made;
                m_otherReaderIds[dataCentre] = hosts[i].id;
                break;
            }
        }
    }

    // Whether the link was made by a host of this data centre, which has this host as its reader.
    bool isFollower(const PeerLink& link) const
    {
        return !link.initiated() && link.dataCentre() == m_self.dataCentre;
    }

    // A host that does not know of eras drops what has a lower version than its own.
    bool wouldAdopt(const PeerLink& link, SharedTable table) const
    {
        const auto known = link.knownVersion(table);
        return known.era != StoreEra(0) || known.version.count() < m_mirror.version(table).version.count();
    }

    // Gives an update from a host that does not know of eras the era of this host's replica. Returns false if
    // the update may be of an earlier one: this host has seen an era change, or learns of it by its own reads
    // of the table of hosts.
    bool assumeEra(TableUpdate& update) const
    {
        if (update.rows.newest.era != StoreEra(0))
            return true;
        update.rows.newest.era = m_mirror.version(update.table).era;
        return update.rows.newest.era == StoreEra(0)
            || (update.table != SharedTable::Hosts && !m_mirror.hasSeenEraChange());
    }

    // The rows of the table that the other host lacks.
    std::optional<StoredRows> changesFor(PeerLink& link, SharedTable table) const
    {
        auto known = link.knownVersion(table);
        const auto lateChanges = m_mirror.lateChanges(table);
        if (link.sentLateChanges(table) != lateChanges && known <= m_mirror.version(table)) {
            link.sentLateChanges(table) = lateChanges;
            known = StoreVersion();
        }
        return m_mirror.changesSince(table, known);
    }

    void addGreeting(PeerFrame& frame) const
    {
        frame.greeting = true;
        for (const auto table : sharedTables) {
            if (!m_mirror.empty(table))
                frame.held.push_back({ table, m_mirror.version(table), m_mirror.digest(table) });
        }
    }

    // A table that the other host has too, or that is newer there, is not sent to it.
    void applyGreeting(PeerLink& link, const PeerFrame& frame) const
    {
        for (const auto& held : frame.held) {
            const auto version = m_mirror.version(held.table);
            const bool same = held.newest == version && held.digest == m_mirror.digest(held.table);
            if (same || version < held.newest)
                link.setKnownVersion(held.table, held.newest);
            if (same)
                link.sentLateChanges(held.table) = m_mirror.lateChanges(held.table);
        }
    }

    // The rows that the other host lacks, and in a whole frame how old this host's copies are.
    void addTables(PeerFrame& frame, PeerLink& link, MonotonicTime now) const
    {
        for (const auto table : sharedTables) {
            if (m_mirror.empty(table))
                continue;
            auto rows = changesFor(link, table);
            if (rows && !wouldAdopt(link, table))
                rows.reset();
            if (!rows && !frame.whole)
                continue;
            TableUpdate update;
            update.table = table;
            update.age = now - m_mirror.currentAt(table);
            update.rows.newest = m_mirror.version(table);
            if (rows) {
                update.rows = std::move(*rows);
                link.setKnownVersion(table, update.rows.newest);
            }
            frame.tableUpdates.push_back(std::move(update));
        }
    }

    PeerFrame makeFrame(PeerLink& link, bool whole)
    {
        PeerFrame frame;
        frame.whole = whole;
        frame.host = m_self.id;
        frame.dataCentre = m_self.dataCentre;
        const auto now = bootTime();
        sumWork(now);
        frame.work = m_hooks.localWork();
        // Load received from the reader or from other data centres is passed on only to the hosts that this
        // reader serves; elsewhere it would circulate and be counted again.
        *frame.work += isFollower(link) ? m_sum.total : m_sum.followers;
        if (isFollower(link))
            *frame.work -= m_sum.contributions[&link];
        if (!std::exchange(link.hasGreeted(), true))
            addGreeting(frame);
        else if (!link.host().empty())
            addTables(frame, link, now);
        frame.crashes = m_crashes.changesSince(link.sentCrashVersion(), maxCrashRecordsPerFrame);
        if (m_hooks.leavingSince)
            frame.leaving = m_hooks.leavingSince(link.sentLeavingPosition());
        if (m_hooks.roleTransitionsSince)
            frame.roleTransitions = m_hooks.roleTransitionsSince(link.sentRoleTransitionPosition());
        if (m_hooks.limitsSince)
            frame.limits = m_hooks.limitsSince(link.sentLimitVersion(), maxLimitsPerFrame);
        if (whole || hasManifestRows(frame)) {
            frame.probe = link.makeProbe();
            frame.echoedProbe = link.receivedProbe();
            frame.echoedProbeAge = now - link.probeReceivedAt();
            addProof(frame, now);
        }
        const auto manifest = m_hooks.manifest && !frame.greeting ? m_hooks.manifest() : nullptr;
        if (manifest && link.sentManifest() != manifest)
            frame.manifest = link.sentManifest() = manifest;
        addUsage(frame, link);
        if (whole && m_hooks.localSpeeds && link.nextSpeeds().passed(now)) {
            link.nextSpeeds() = Deadline::after(now, speedInterval);
            const bool local = link.dataCentre() == m_self.dataCentre;
            frame.serverSpeeds = m_speeds.changesFor(&link, isFollower(link), m_hooks.localSpeeds(),
                local ? maxSpeedsPerFrame : maxRemoteSpeedsPerFrame, now);
        }
        return frame;
    }

    bool exchangesProofs() const { return m_hooks.exchangesProofs && m_hooks.exchangesProofs(); }

    // With the rows of a new era, the receiver drops its proof, so that it gets one together with them.
    static bool hasManifestRows(const PeerFrame& frame)
    {
        return std::any_of(
            frame.tableUpdates.begin(), frame.tableUpdates.end(), [](const TableUpdate& update) {
                return update.table == SharedTable::Manifest && !update.rows.rows.empty();
            });
    }

    void addProof(PeerFrame& frame, MonotonicTime now) const
    {
        const auto proof = exchangesProofs() ? m_hooks.manifestProof() : std::nullopt;
        if (!proof)
            return;
        frame.manifestProvenAge = now - proof->provenAt;
        frame.manifestProvenVersion = proof->version;
        frame.provenManifest = proof->manifest;
    }

    void applyProof(const PeerFrame& frame, std::optional<MonotonicTime> madeAfter) const
    {
        if (madeAfter && frame.manifestProvenAge && exchangesProofs())
            m_hooks.onManifestProof(
                { *madeAfter - *frame.manifestProvenAge, frame.manifestProvenVersion, frame.provenManifest });
    }

    // Of the hosts that have this one as their reader, the one that would be the next reader.
    void chooseStandIn()
    {
        std::set<HostId> followers;
        for (const auto& link : m_links) {
            if (isFollower(*link))
                followers.insert(link->host());
        }
        m_standIn = HostId();
        for (const auto& host : ranked(m_self.dataCentre)) {
            if (m_standIn.empty() && followers.count(host.id) > 0)
                m_standIn = host.id;
        }
    }

    // Usage passes between a host and its reader, so that each record has one writer. A reader's own records
    // are kept by one other host, so that they are not lost with it.
    void addUsage(PeerFrame& frame, PeerLink& link)
    {
        const auto sent = m_hooks.usageSent ? m_hooks.usageSent() : std::nullopt;
        if (sent && (frame.whole || !(link.toldUsageSent() == sent)))
            frame.usageSent = link.toldUsageSent() = sent;
        const bool follower = isFollower(link);
        const bool standIn = follower && link.host() == m_standIn;
        if (frame.whole && (standIn || &link == m_readerLink.get()) && m_hooks.usageSince)
            frame.usage = m_hooks.usageSince(link.sentUsageVersion());
        if (!follower || !m_hooks.storedUsageSince)
            return;
        std::set<HostId> hosts { link.host() };
        if (standIn)
            hosts.insert(m_self.id);
        frame.storedUsage = m_hooks.storedUsageSince(hosts, link.sentStoredUsagePosition());
    }

    // Returns whether other hosts should be told at once.
    bool takeUsage(const PeerFrame& frame, PeerLink& link)
    {
        for (const auto& record : frame.usage) {
            if ((isFollower(link) || &link == m_readerLink.get()) && m_hooks.onUsage)
                m_hooks.onUsage(record);
        }
        for (const auto& id : frame.storedUsage) {
            if (m_hooks.onStoredUsage)
                m_hooks.onStoredUsage(id);
        }
        if (!frame.usageSent || !m_hooks.onUsageSent)
            return false;
        link.statedUsageSent() = frame.usageSent;
        return m_hooks.onUsageSent(*frame.usageSent);
    }

    void onFrame(PeerLink& link, const PeerFrame& frame)
    {
        const auto now = bootTime();
        // A frame may have waited for any time on its way.
        const auto madeAfter = link.madeAfter(frame);
        if (frame.greeting)
            applyGreeting(link, frame);
        // Before the rows of the table, which are older.
        bool changed = frame.manifest && m_hooks.onManifest && m_hooks.onManifest(*frame.manifest);
        for (auto update : frame.tableUpdates) {
            const auto before = m_mirror.version(update.table);
            link.setKnownVersion(update.table, update.rows.newest);
            if (!assumeEra(update))
                continue;
            m_mirror.apply(update.table, update.rows, madeAfter ? *madeAfter - update.age : MonotonicTime(),
                now, &link == m_readerLink.get() ? CopyOrigin::Reader : CopyOrigin::Peer);
            changed = changed || before < m_mirror.version(update.table);
        }
        applyProof(frame, madeAfter);
        changed = takeUsage(frame, link) || changed;
        const auto crashesBefore = m_crashes.version();
        for (const auto& record : frame.crashes)
            m_crashes.merge(record);
        for (const auto& server : frame.leaving)
            changed = (m_hooks.onLeaving && m_hooks.onLeaving(server)) || changed;
        for (const auto& statement : frame.limits)
            changed = (m_hooks.onLimit && m_hooks.onLimit(statement)) || changed;
        for (const auto& transition : frame.roleTransitions) {
            if (!transition.until.passed(now))
                changed = (m_hooks.onRoleTransition && m_hooks.onRoleTransition(transition)) || changed;
        }
        if (frame.whole)
            m_speeds.receive(&link, isFollower(link), frame.serverSpeeds, now);
        if (!frame.serverSpeeds.empty() && m_hooks.onRemoteSpeeds)
            m_hooks.onRemoteSpeeds(m_speeds.remoteSums(now));
        if (changed || crashesBefore < m_crashes.version())
            publish();
        m_sum.stale = true;
        sumWork(now);
    }

    void onClosed(PeerLink& link)
    {
        m_links.erase(link.shared_from_this());
        m_speeds.remove(&link);
        // Sums up at once: if this was the last link, no further frame would trigger it.
        m_sum.updatedAt = {};
        m_sum.stale = true;
        sumWork(bootTime());
    }

    // Sums up the loads reported over the links, at most once per interval.
    void sumWork(MonotonicTime now)
    {
        if (!m_sum.stale || now < m_sum.updatedAt + minSumInterval)
            return;
        m_sum = WorkSum();
        m_sum.updatedAt = now;
        for (const auto& link : m_links) {
            const auto& work = m_sum.contributions[link.get()] = link->work();
            m_sum.total += work;
            if (isFollower(*link))
                m_sum.followers += work;
        }
        m_hooks.onRemoteWork(m_sum.total);
    }

    struct WorkSum {
        // The load of all other hosts.
        PeerWork total;
        // The load of the hosts of this data centre that have this host as their reader.
        PeerWork followers;
        // The contribution of each link.
        std::map<const PeerLink*, PeerWork> contributions;
        MonotonicTime updatedAt {};
        bool stale = false;
    };

    std::set<std::shared_ptr<PeerLink>> m_links;
    WorkSum m_sum;
    SpeedExchange m_speeds;
    std::shared_ptr<PeerLink> m_seedLink;
    Deadline m_nextSeed;
    std::shared_ptr<PeerLink> m_readerLink;
    HostId m_readerId;
    HostId m_standIn;
    std::map<DataCentre, std::shared_ptr<PeerLink>> m_otherReaderLinks;
    std::map<DataCentre, HostId> m_otherReaderIds;
    std::map<HostId, Deadline> m_nextAttempts;
    // A round of link checks has ended with the hosts known. Before that, a missing link does not make this
    // host a reader.
    bool m_hasCheckedLinks = false;
};

PeerNetwork::PeerNetwork(const boost::asio::any_io_executor& executor, HostRecord self,
    std::vector<Address> seeds, RowMirror& mirror, CrashRecords& crashes, Hooks hooks)
    : m_impl(std::make_shared<Impl>(
        executor, std::move(self), std::move(seeds), mirror, crashes, std::move(hooks)))
{
}

PeerNetwork::~PeerNetwork() = default;

std::error_code PeerNetwork::start() { return m_impl->m_listener.start(m_impl->m_self.peerAddress); }

awaitable<void> PeerNetwork::run()
{
    const auto impl = m_impl;
    co_await impl->run();
}

void PeerNetwork::setHosts(std::vector<HostRecord> hosts)
{
    m_impl->m_hosts.clear();
    for (auto& host : hosts)
        m_impl->m_hosts[host.id] = std::move(host);
    m_impl->m_hosts[m_impl->m_self.id] = m_impl->m_self;
    m_impl->m_hostsKnown = true;
}

void PeerNetwork::setSeeds(std::vector<Address> seeds) { m_impl->m_seeds = std::move(seeds); }

int PeerNetwork::hostCount() const { return std::max<int>(1, static_cast<int>(m_impl->m_hosts.size())); }

bool PeerNetwork::isReader() const { return m_impl->isReader(); }

bool PeerNetwork::lacksDataCentre() const { return m_impl->lacksDataCentre(); }

bool PeerNetwork::hasHeardHost() const { return m_impl->hasHeardHost(); }

bool PeerNetwork::hearsHosts() const { return m_impl->hearsHosts(); }

bool PeerNetwork::othersKnowUsageSent(UsageWindow window) const
{
    return m_impl->othersKnowUsageSent(window);
}

void PeerNetwork::publish() { m_impl->publish(); }

} // namespace almondscale
