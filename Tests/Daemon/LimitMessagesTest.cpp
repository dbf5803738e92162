#include "LimitsDuty.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("LimitMessages, written and read back, stay the same")
{
    LimitMessage message;
    message.kind = LimitMessage::Kind::Grant;
    message.from = HostId("a");
    message.to = HostId("b");
    message.organisation = Organisation("portones");
    message.demand = 1.25;
    message.share = 0.5;
    message.sequence = 9;
    const auto read = decodeLimitMessages(encodeLimitMessages({ message, message }));
    REQUIRE(read.has_value());
    REQUIRE(read->size() == 2);
    CHECK(read->back().kind == LimitMessage::Kind::Grant);
    CHECK(read->back().to == HostId("b"));
    CHECK(read->back().share == 0.5);
    CHECK(read->back().sequence == 9);
}

TEST_CASE("LimitMessages, malformed or of an unknown kind, are refused whole")
{
    for (const char* text :
        { "", "{}", R"({"messages":7})", R"({"messages":[{"kind":99}]})", R"({"messages":[{"kind":-1}]})" }) {
        CAPTURE(text);
        CHECK_FALSE(decodeLimitMessages(text).has_value());
    }
}
