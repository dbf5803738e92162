#pragma once

#include "Core/Result.h"
#include "Membership/Frame.h"

#include <cstddef>
#include <string>

namespace almondscale {

// A longer frame is refused.
constexpr std::size_t maxFrameBytes = 65536;
// A longer name of a host or a data centre is refused.
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxItemKeyBytes = 96;
constexpr std::size_t maxItemValueBytes = 1024;

std::string encodeFrame(const Frame&);

// Gives FrameInvalid for bytes that are truncated, hostile or beyond a bound.
Result<Frame> decodeFrame(const std::string& bytes);

// The bytes that a record or an item takes in a frame, from above.
std::size_t encodedBytes(const MemberRecord&);
std::size_t encodedBytes(const SharedItem&);

} // namespace almondscale
