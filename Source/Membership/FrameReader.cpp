#include "Membership/FrameReader.h"

#include "Membership/FrameAuthenticator.h"
#include "Membership/FrameCodec.h"

#include <cstdint>

namespace almondscale {

namespace {

    constexpr std::size_t lengthBytes = 4;

    std::size_t readLength(const std::string& buffer)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            length = (length << 8U) | static_cast<std::uint8_t>(buffer[i]);
        return length;
    }

} // namespace

std::optional<SignedFrame> FrameReader::next()
{
    if (m_oversized || m_buffer.size() < lengthBytes)
        return std::nullopt;
    const auto length = readLength(m_buffer);
    if (length > maxFrameBytes) {
        m_oversized = true;
        return std::nullopt;
    }
    constexpr auto headBytes = lengthBytes + FrameAuthenticator::macBytes;
    if (m_buffer.size() < headBytes + length)
        return std::nullopt;
    SignedFrame frame { m_buffer.substr(lengthBytes, FrameAuthenticator::macBytes),
        m_buffer.substr(headBytes, length) };
    m_buffer.erase(0, headBytes + length);
    return frame;
}

std::string wireBytes(const SignedFrame& frame)
{
    std::string bytes;
    const auto length = frame.frame.size();
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xffU));
    return bytes + frame.mac + frame.frame;
}

} // namespace almondscale
