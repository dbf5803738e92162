#include "Serving/KeyDigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <charconv>
#include <cstring>

namespace almondscale {

namespace {

    constexpr const char* prefix = "sha256:";
    constexpr std::size_t digitsPerByte = 2;

} // namespace

KeyDigest KeyDigest::of(const std::string& key)
{
    static_assert(size == SHA256_DIGEST_LENGTH);
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.m_bytes.data());
    return digest;
}

std::optional<KeyDigest> KeyDigest::parse(const std::string& text)
{
    const auto start = std::strlen(prefix);
    if (text.compare(0, start, prefix) != 0 || text.size() != start + size * digitsPerByte)
        return std::nullopt;
    KeyDigest digest;
    for (std::size_t i = 0; i < size; ++i) {
        const auto* digits = text.data() + start + i * digitsPerByte;
        const auto read = std::from_chars(digits, digits + digitsPerByte, digest.m_bytes.at(i), 16);
        if (read.ec != std::errc() || read.ptr != digits + digitsPerByte)
            return std::nullopt;
    }
    return digest;
}

std::string KeyDigest::text() const
{
    static constexpr const char* digits = "0123456789abcdef";
    std::string text = prefix;
    for (const auto byte : m_bytes) {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

std::size_t KeyDigest::hash() const
{
    std::size_t hash = 0;
    std::memcpy(&hash, m_bytes.data(), sizeof hash);
    return hash;
}

bool operator==(const KeyDigest& a, const KeyDigest& b)
{
    return CRYPTO_memcmp(a.m_bytes.data(), b.m_bytes.data(), KeyDigest::size) == 0;
}

} // namespace almondscale
