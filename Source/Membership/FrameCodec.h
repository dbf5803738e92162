#pragma once

#include "Core/Result.h"
#include "Membership/Frame.h"

#include <cstddef>
#include <string>

namespace almondscale {

// Longer frames are rejected.
constexpr std::size_t maxFrameBytes = 65536;
// Longer names of hosts and data centres are rejected.
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxItemKeyBytes = 96;
constexpr std::size_t maxItemValueBytes = 1024;

std::string encodeFrame(const Frame&);

// Returns FrameInvalid for truncated or malformed input and for input that exceeds a limit.
Result<Frame> decodeFrame(const std::string& bytes);

// Upper bounds on the encoded size of a record or an item, in bytes.
std::size_t encodedBytes(const MemberRecord&);
std::size_t encodedBytes(const SharedItem&);

} // namespace almondscale
