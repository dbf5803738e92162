#include "Serving/KeyDigest.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("Digest of a key, as text and parsed again, is the same digest")
{
    const auto digest = KeyDigest::of("gjqnirth5mgjy5rcpihh");
    CHECK(KeyDigest::parse(digest.text()) == digest);
    CHECK_FALSE(KeyDigest::of("gjqnirth5mgjy5rcpihi") == digest);
    // The published test vector of SHA-256 for "abc".
    CHECK(KeyDigest::of("abc").text()
        == "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("Text that is no digest, parsed, gives nothing")
{
    const auto text = KeyDigest::of("abc").text();
    CHECK_FALSE(KeyDigest::parse("abc"));
    CHECK_FALSE(KeyDigest::parse(text.substr(1)));
    CHECK_FALSE(KeyDigest::parse(text + "0"));
    CHECK_FALSE(KeyDigest::parse(text.substr(0, text.size() - 1) + "g"));
}
