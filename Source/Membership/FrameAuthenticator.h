#pragma once

#include "Core/Address.h"
#include "Membership/FrameKeys.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace almondscale {

// What a frame's code covers beside its bytes, so that a frame is good only once, on one connection, for one
// receiver.
struct FrameContext {
    // The random bytes that the receiver sent when the connection was opened.
    std::string challenge;
    // The number of frames that went before on the connection.
    std::uint64_t sequence = 0;
    Address receiver;
};

// Signs and checks frames by HMAC-SHA256. Safe for use by several threads.
class FrameAuthenticator {
public:
    static constexpr std::size_t codeBytes = 32;
    static constexpr std::size_t challengeBytes = 16;
    // A shorter key is refused.
    static constexpr std::size_t minKeyBytes = 16;

    // Returns false and keeps the former keys if a key is too short.
    bool setKeys(const FrameKeys&);
    std::string sign(const FrameContext&, const std::string& frame) const;
    bool accepts(const FrameContext&, const std::string& frame, const std::string& code) const;

    static std::string makeChallenge();

private:
    FrameKeys keys() const;

    mutable std::mutex m_mutex;
    FrameKeys m_keys;
};

} // namespace almondscale
