#pragma once

#include "Core/TransferProgress.h"
#include "Forwarding/Asio.h"
#include "Peers/PeerFrame.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondscale {

// A connection to another host, over which both sides send frames at the interval of FrameInterval.h. The
// next frame is made only after the last one was written, so a host that does not read delays no other link.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Hooks {
        // Makes the frame to send now, with the complete state if `whole` is set.
        std::function<PeerFrame(PeerLink&, bool whole)> makeFrame;
        std::function<void(PeerLink&, const PeerFrame&)> onFrame;
        // Called once when the connection has ended, for any reason.
        std::function<void(PeerLink&)> onClosed;
        // The number of links that share this host's traffic limit.
        std::function<std::size_t()> linkCount;
    };

    // `initiated` is set if this host made the connection.
    PeerLink(tcp::socket, bool initiated, Hooks);
    ~PeerLink();

    void start();
    // Sends the next frame without waiting for the interval.
    void wake();
    void close();
    bool open() const;

    bool initiated() const;
    // Empty until the first whole frame was received.
    const HostId& host() const;
    const DataCentre& dataCentre() const;
    // Whether this host has sent its first frame.
    bool& hasGreeted();
    // Whether a whole frame was received that is no greeting, so that nothing is known to the other host
    // which it would not have sent.
    bool hasCaughtUp() const;
    // The load last reported by the other host.
    const PeerWork& work() const;
    // The version of a table that the other host has, because it was sent over this link or received from it.
    StoreVersion knownVersion(SharedTable) const;
    // Ignored if it is older than the known version. A version without an era is taken to be of the era that
    // was last sent.
    void setKnownVersion(SharedTable, StoreVersion);
    // The late changes of a table up to which it was sent over this link, see RowMirror::lateChanges().
    std::uint64_t& sentLateChanges(SharedTable);
    // The version of the crash records up to which they were sent over this link.
    std::uint64_t& sentCrashVersion();
    // The position in the log of announced shutdowns up to which they were sent over this link.
    std::size_t& sentLeavingPosition();
    // The version of the limits of servers up to which they were sent over this link.
    std::uint64_t& sentLimitVersion();
    // The time from which on speeds of servers are sent again.
    Deadline& nextSpeeds();
    // The same for the log of role transitions.
    std::size_t& sentRoleTransitionPosition();
    // The version of this host's usage up to which it was sent over this link, and the position in the log of
    // stored records.
    std::uint64_t& sentUsageVersion();
    std::uint64_t& sentStoredUsagePosition();
    // The last report of usage that may have been sent, as told to the other host and as it last stated.
    std::optional<SentReport>& toldUsageSent();
    std::optional<SentReport>& statedUsageSent();

    // The text of the manifest in force that was last sent over this link; null if none was.
    std::shared_ptr<const std::string>& sentManifest();

    // The frame that is being received, or was last.
    const TransferProgress& incoming() const;

    // A stamp of this moment, to be sent with the next frame.
    std::uint64_t makeProbe();
    // The last stamp received from the other host, 0 if there is none, and when it arrived.
    std::uint64_t receivedProbe() const;
    MonotonicTime probeReceivedAt() const;
    // A time, on the clock of this host, after which the frame was made; unset if it echoes no stamp of this
    // link. Differs from the time at which it was made by what the stamp took to arrive.
    std::optional<MonotonicTime> madeAfter(const PeerFrame&) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
