#pragma once

#include "Core/Address.h"
#include "Membership/FrameKeys.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace almondscale {

// What the message authentication code (MAC) covers besides the frame itself. It makes a frame valid only
// once, on one connection and for one receiver, which prevents replay.
struct FrameContext {
    // The random bytes that the receiver sent when it accepted the connection.
    std::string challenge;
    // The number of frames sent before this one on the connection.
    std::uint64_t sequence = 0;
    Address receiver;
};

// Signs and verifies frames with HMAC-SHA256. Thread-safe.
class FrameAuthenticator {
public:
    static constexpr std::size_t macBytes = 32;
    static constexpr std::size_t challengeBytes = 16;
    // Shorter keys are rejected.
    static constexpr std::size_t minKeyBytes = 16;

    // Returns false and keeps the previous keys if a key is shorter than minKeyBytes. `verifyOnly` may be
    // empty.
    bool setKeys(const FrameKeys&);
    // Returns the MAC. Throws std::runtime_error if the cryptographic library fails.
    std::string sign(const FrameContext&, const std::string& frame) const;
    // Returns whether the MAC matches under either key. Throws like sign().
    bool verify(const FrameContext&, const std::string& frame, const std::string& mac) const;

    // Returns challengeBytes random bytes. Throws std::runtime_error if none are available.
    static std::string makeChallenge();

private:
    FrameKeys keys() const;

    mutable std::mutex m_mutex;
    FrameKeys m_keys;
};

} // namespace almondscale
