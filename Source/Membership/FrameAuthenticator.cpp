#include "Membership/FrameAuthenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>

namespace almondscale {

namespace {

    // Big-endian.
    void appendNumber(std::string& text, std::uint64_t number)
    {
        for (int shift = 56; shift >= 0; shift -= 8)
            text.push_back(static_cast<char>((number >> shift) & 0xffU));
    }

    // Each field has a fixed length or a length prefix, so that different contexts never give the same bytes.
    std::string authenticatedBytes(const FrameContext& context, const std::string& frame)
    {
        std::string text = context.challenge;
        appendNumber(text, context.sequence);
        const std::string receiver = context.receiver.text();
        appendNumber(text, receiver.size());
        text += receiver;
        text += frame;
        return text;
    }

    std::string hmac(const std::string& key, const std::string& text)
    {
        std::string mac(FrameAuthenticator::macBytes, '\0');
        unsigned int length = 0;
        const auto* data = reinterpret_cast<const unsigned char*>(text.data());
        auto* out = reinterpret_cast<unsigned char*>(mac.data());
        if (!HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, text.size(), out, &length))
            throw std::runtime_error("HMAC-SHA256 failed");
        return mac;
    }

    bool equalConstantTime(const std::string& a, const std::string& b)
    {
        return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
    }

} // namespace

bool FrameAuthenticator::setKeys(const FrameKeys& keys)
{
    if (keys.signing.size() < minKeyBytes)
        return false;
    if (!keys.verifyOnly.empty() && keys.verifyOnly.size() < minKeyBytes)
        return false;
    const std::lock_guard lock(m_mutex);
    m_keys = keys;
    return true;
}

FrameKeys FrameAuthenticator::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_keys;
}

std::string FrameAuthenticator::sign(const FrameContext& context, const std::string& frame) const
{
    return hmac(keys().signing, authenticatedBytes(context, frame));
}

bool FrameAuthenticator::verify(
    const FrameContext& context, const std::string& frame, const std::string& mac) const
{
    const auto current = keys();
    const auto text = authenticatedBytes(context, frame);
    if (!current.signing.empty() && equalConstantTime(hmac(current.signing, text), mac))
        return true;
    return !current.verifyOnly.empty() && equalConstantTime(hmac(current.verifyOnly, text), mac);
}

std::string FrameAuthenticator::makeChallenge()
{
    std::string challenge(challengeBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(challenge.data()), static_cast<int>(challenge.size()))
        != 1)
        throw std::runtime_error("cannot generate a challenge: RAND_bytes failed");
    return challenge;
}

} // namespace almondscale
