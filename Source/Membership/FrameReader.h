#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace almondscale {

// One frame as it came from a connection.
struct SignedFrame {
    std::string code;
    std::string frame;
};

// Cuts the bytes of a connection into frames: a length of four bytes, big-endian, the code, the frame.
class FrameReader {
public:
    void append(const char* data, std::size_t size) { m_buffer.append(data, size); }

    // The next whole frame, if there is one.
    std::optional<SignedFrame> next();

    // Whether the peer announced a frame beyond the bound; nothing after it can be read.
    bool broken() const { return m_broken; }

private:
    std::string m_buffer;
    bool m_broken = false;
};

// The bytes that carry a frame on a connection.
std::string wireBytes(const SignedFrame&);

} // namespace almondscale
