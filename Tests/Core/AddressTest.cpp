#include "Core/Address.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("Address, an IP address and a port, is parsed completely")
{
    const auto address = parseAddress("127.0.0.1:8080");
    REQUIRE(address);
    CHECK(address->ip == "127.0.0.1");
    CHECK(address->port == 8080);
    CHECK(address->text() == "127.0.0.1:8080");
}

TEST_CASE("Address, anything but an IP address and a port, is rejected")
{
    for (const char* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
             "127.0.0.1:80x", "localhost:80", "300.0.0.1:80", ":80" }) {
        CAPTURE(text);
        CHECK_FALSE(parseAddress(text));
    }
}
