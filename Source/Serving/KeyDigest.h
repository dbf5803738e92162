#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace almondscale {

// The SHA-256 digest of a caller's API key. Hosts keep and exchange digests, so that a key appears in no log,
// metric, status page or frame.
class KeyDigest {
public:
    static KeyDigest of(const std::string& key);
    // Parses what text() returns.
    static std::optional<KeyDigest> parse(const std::string&);

    // "sha256:" and 64 hexadecimal digits.
    std::string text() const;
    std::size_t hash() const;

    // Compares in constant time.
    friend bool operator==(const KeyDigest&, const KeyDigest&);

private:
    static constexpr std::size_t size = 32;

    std::array<unsigned char, size> m_bytes {};
};

} // namespace almondscale

template <> struct std::hash<almondscale::KeyDigest> {
    std::size_t operator()(const almondscale::KeyDigest& digest) const noexcept { return digest.hash(); }
};
