#include "Peers/PeerLink.h"

#include "Core/LogEvent.h"
#include "Core/TransferDeadline.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"
#include "Peers/FrameInterval.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <utility>

namespace almondscale {

namespace {

    // Interval of whole frames, which carry the slowly changing state and confirm that tables are current.
    constexpr Nanoseconds wholeFrameInterval = std::chrono::milliseconds(200);
    // A host sends its first frame as soon as it is connected, and one that is frozen may still accept
    // connections.
    constexpr Nanoseconds firstBytesTimeout = std::chrono::milliseconds(300);
    // The largest manifest that the store takes has 4 MB.
    constexpr std::uint32_t maxFrameBytes = 8 << 20;

    // Stamps that are remembered; the other host has as many whole frames to echo one.
    constexpr std::size_t maxProbes = 16;

    using Length = std::array<unsigned char, 4>;

    Length encodeLength(std::size_t size)
    {
        return { static_cast<unsigned char>(size >> 24), static_cast<unsigned char>(size >> 16),
            static_cast<unsigned char>(size >> 8), static_cast<unsigned char>(size) };
    }

    std::int64_t inMilliseconds(Nanoseconds time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    std::uint32_t decodeLength(const Length& bytes)
    {
        return std::uint32_t(bytes[0]) << 24 | std::uint32_t(bytes[1]) << 16 | std::uint32_t(bytes[2]) << 8
            | std::uint32_t(bytes[3]);
    }

} // namespace

class PeerLink::Impl {
public:
    Impl(tcp::socket socket, bool initiated, Hooks hooks)
        : m_socket(std::move(socket))
        , m_initiated(initiated)
        , m_hooks(std::move(hooks))
        , m_wake(m_socket.get_executor())
        , m_silenceTimer(m_socket.get_executor())
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_incoming.lastByteAt = bootTime();
        m_due = TransferDeadline(Deadline::after(
            m_incoming.lastByteAt, initiated ? firstBytesTimeout : TransferDeadline::maxSilence));
    }

    void close()
    {
        m_open = false;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_silenceTimer.cancel();
        m_wake.notify();
    }

    void logSilence() const
    {
        // PeerNetwork logs that a host did not answer at all.
        if (m_initiated && m_host.empty())
            return;
        LogEvent("peer_silent", LogLevel::Warning)
            .with("host", m_host)
            .with("received", m_incoming.received)
            .with("expected", m_incoming.expected)
            .with("silent_ms", inMilliseconds(bootTime() - m_incoming.lastByteAt));
    }

    // Closes the link if what the other host sends does not arrive in time.
    void watchSilence()
    {
        m_silenceTimer.expires_after(m_due.deadline().remaining(bootTime()));
        m_silenceTimer.async_wait([weak = m_self](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            if (!self->m_due.deadline().passed(bootTime())) {
                self->watchSilence();
                return;
            }
            self->logSilence();
            self->close();
        });
    }

    void applyReport(const PeerFrame& frame)
    {
        if (frame.probe != 0) {
            // A host that has just started serves no keys before its first stamp is echoed.
            if (m_receivedProbe == 0) {
                m_nextWholeFrame = Deadline();
                m_wake.notify();
            }
            m_receivedProbe = frame.probe;
            m_probeReceivedAt = bootTime();
        }
        if (frame.whole) {
            m_host = frame.host;
            m_dataCentre = frame.dataCentre;
            m_caughtUp = !frame.greeting;
        }
        if (!frame.work)
            return;
        if (frame.whole) {
            m_work = *frame.work;
        } else {
            m_work.loads = frame.work->loads;
            m_work.traffic.limitedSends = frame.work->traffic.limitedSends;
        }
    }

    // Fills the buffer; returns false if the connection ends before.
    static awaitable<bool> receiveBytes(std::shared_ptr<Impl> self, boost::asio::mutable_buffer bytes)
    {
        auto& progress = self->m_incoming;
        progress = { 0, bytes.size(), bootTime() };
        while (!progress.complete()) {
            const auto [error, size]
                = co_await self->m_socket.async_read_some(bytes + progress.received, noThrow);
            if (error)
                co_return false;
            progress.received += size;
            progress.lastByteAt = bootTime();
            self->m_due.onBytes(size, progress.lastByteAt);
        }
        co_return true;
    }

    static awaitable<void> receive(std::shared_ptr<Impl> self, std::shared_ptr<PeerLink> link)
    {
        if (self->m_open)
            self->watchSilence();
        while (self->m_open) {
            Length length {};
            const bool begun = co_await receiveBytes(self, boost::asio::buffer(length));
            if (!begun || decodeLength(length) > maxFrameBytes)
                break;
            std::string bytes(decodeLength(length), '\0');
            const bool whole = co_await receiveBytes(self, boost::asio::buffer(bytes));
            if (!whole)
                break;
            self->m_due = TransferDeadline(Deadline::after(bootTime(), TransferDeadline::maxSilence));
            auto frame = decodePeerFrame(bytes, bootTime());
            if (!frame) {
                LogEvent("peer_frame_invalid", LogLevel::Warning)
                    .with("host", self->m_host)
                    .with("bytes", bytes.size());
                break;
            }
            self->m_receivedBytes = bytes.size();
            self->applyReport(*frame);
            self->m_hooks.onFrame(*link, *frame);
        }
        self->close();
        self->m_hooks.onClosed(*link);
    }

    static awaitable<void> send(std::shared_ptr<Impl> self, std::shared_ptr<PeerLink> link)
    {
        while (self->m_open) {
            const bool whole = self->m_nextWholeFrame.passed(bootTime());
            if (whole)
                self->m_nextWholeFrame = Deadline::after(bootTime(), wholeFrameInterval);
            const auto body = encodePeerFrame(self->m_hooks.makeFrame(*link, whole), bootTime());
            const auto length = encodeLength(body.size());
            const std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(length),
                boost::asio::buffer(body) };
            const auto [error, size] = co_await boost::asio::async_write(self->m_socket, buffers, noThrow);
            if (error)
                break;
            const auto interval
                = frameInterval(body.size(), self->m_receivedBytes, self->m_hooks.linkCount());
            co_await self->m_wake.waitUntil(Deadline::after(bootTime(), interval));
        }
        self->close();
    }

    tcp::socket m_socket;
    bool m_initiated;
    Hooks m_hooks;
    AsyncEvent m_wake;
    boost::asio::steady_timer m_silenceTimer;
    bool m_open = true;
    // The size of the last received frame.
    std::size_t m_receivedBytes = 0;
    // The frame that is being received, or was last.
    TransferProgress m_incoming;
    // When the next bytes are due.
    TransferDeadline m_due;
    Deadline m_nextWholeFrame;
    HostId m_host;
    DataCentre m_dataCentre;
    bool m_greeted = false;
    bool m_caughtUp = false;
    PeerWork m_work;
    std::map<SharedTable, StoreVersion> m_knownVersions;
    std::map<SharedTable, std::uint64_t> m_sentLateChanges;
    std::uint64_t m_sentCrashVersion = 0;
    std::size_t m_sentLeavingPosition = 0;
    std::size_t m_sentRoleTransitionPosition = 0;
    std::uint64_t m_sentLimitVersion = 0;
    std::uint64_t m_receivedProbe = 0;
    MonotonicTime m_probeReceivedAt {};
    std::uint64_t m_lastProbe = 0;
    // The times of the last stamps, oldest first.
    std::deque<std::pair<std::uint64_t, MonotonicTime>> m_probes;
    std::uint64_t m_sentUsageVersion = 0;
    std::uint64_t m_sentStoredUsagePosition = 0;
    std::optional<SentReport> m_toldUsageSent;
    std::optional<SentReport> m_statedUsageSent;
    std::shared_ptr<const std::string> m_sentManifest;
    Deadline m_nextSpeeds;
    std::weak_ptr<Impl> m_self;
};

PeerLink::PeerLink(tcp::socket socket, bool initiated, Hooks hooks)
    : m_impl(std::make_shared<Impl>(std::move(socket), initiated, std::move(hooks)))
{
    m_impl->m_self = m_impl;
}

PeerLink::~PeerLink() = default;

void PeerLink::start()
{
    const auto executor = m_impl->m_socket.get_executor();
    spawn(executor, Impl::receive(m_impl, shared_from_this()));
    spawn(executor, Impl::send(m_impl, shared_from_this()));
}

void PeerLink::wake() { m_impl->m_wake.notify(); }
void PeerLink::close() { m_impl->close(); }
bool PeerLink::open() const { return m_impl->m_open; }
bool PeerLink::initiated() const { return m_impl->m_initiated; }
const HostId& PeerLink::host() const { return m_impl->m_host; }
const DataCentre& PeerLink::dataCentre() const { return m_impl->m_dataCentre; }
bool& PeerLink::hasGreeted() { return m_impl->m_greeted; }
bool PeerLink::hasCaughtUp() const { return m_impl->m_caughtUp; }
const PeerWork& PeerLink::work() const { return m_impl->m_work; }

StoreVersion PeerLink::knownVersion(SharedTable table) const
{
    const auto found = m_impl->m_knownVersions.find(table);
    return found == m_impl->m_knownVersions.end() ? StoreVersion() : found->second;
}

void PeerLink::setKnownVersion(SharedTable table, StoreVersion version)
{
    auto& known = m_impl->m_knownVersions[table];
    if (version.era == StoreEra(0))
        version.era = known.era;
    if (known < version)
        known = version;
}

std::uint64_t& PeerLink::sentLateChanges(SharedTable table) { return m_impl->m_sentLateChanges[table]; }

std::uint64_t& PeerLink::sentCrashVersion() { return m_impl->m_sentCrashVersion; }
std::size_t& PeerLink::sentLeavingPosition() { return m_impl->m_sentLeavingPosition; }

std::uint64_t& PeerLink::sentUsageVersion() { return m_impl->m_sentUsageVersion; }
std::uint64_t& PeerLink::sentStoredUsagePosition() { return m_impl->m_sentStoredUsagePosition; }

std::optional<SentReport>& PeerLink::toldUsageSent() { return m_impl->m_toldUsageSent; }
std::optional<SentReport>& PeerLink::statedUsageSent() { return m_impl->m_statedUsageSent; }

std::shared_ptr<const std::string>& PeerLink::sentManifest() { return m_impl->m_sentManifest; }

std::uint64_t& PeerLink::sentLimitVersion() { return m_impl->m_sentLimitVersion; }

Deadline& PeerLink::nextSpeeds() { return m_impl->m_nextSpeeds; }

std::size_t& PeerLink::sentRoleTransitionPosition() { return m_impl->m_sentRoleTransitionPosition; }

const TransferProgress& PeerLink::incoming() const { return m_impl->m_incoming; }

std::uint64_t PeerLink::makeProbe()
{
    auto& probes = m_impl->m_probes;
    probes.emplace_back(++m_impl->m_lastProbe, bootTime());
    if (probes.size() > maxProbes)
        probes.pop_front();
    return m_impl->m_lastProbe;
}

std::uint64_t PeerLink::receivedProbe() const { return m_impl->m_receivedProbe; }

MonotonicTime PeerLink::probeReceivedAt() const { return m_impl->m_probeReceivedAt; }

std::optional<MonotonicTime> PeerLink::madeAfter(const PeerFrame& frame) const
{
    const auto& probes = m_impl->m_probes;
    const auto found = std::find_if(
        probes.begin(), probes.end(), [&frame](const auto& each) { return each.first == frame.echoedProbe; });
    if (found == probes.end())
        return std::nullopt;
    return std::min(found->second + frame.echoedProbeAge, bootTime());
}

} // namespace almondscale
