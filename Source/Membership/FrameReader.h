#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace almondscale {

// A frame and its MAC, as read from a connection.
struct SignedFrame {
    std::string mac;
    std::string frame;
};

// Splits the byte stream of a connection into frames. On the wire a frame is a 4-byte big-endian length, the
// MAC and the frame itself; the length counts the frame only.
class FrameReader {
public:
    void append(const char* data, std::size_t size) { m_buffer.append(data, size); }

    // Removes and returns the next complete frame, or nullopt if more bytes are needed or after oversized().
    std::optional<SignedFrame> next();

    // Whether the peer announced a frame longer than maxFrameBytes; no further frame can be read.
    bool oversized() const { return m_oversized; }

private:
    std::string m_buffer;
    bool m_oversized = false;
};

// Encodes a frame for the wire, in the format that FrameReader reads.
std::string wireBytes(const SignedFrame&);

} // namespace almondscale
