#include "Load/LoadMix.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace almondscale;

TEST_CASE("Mix, of every known name, is readable", "[load]")
{
    std::istringstream names(mixNames());
    std::string name;
    int count = 0;
    while (names >> name) {
        std::string error;
        CHECK(parseMix(*namedMix(name), error));
        ++count;
    }
    CHECK(count > 0);
}

TEST_CASE("Mix, with a wrong key, value or word, is refused with its line", "[load]")
{
    const std::string wrong
        = GENERATE(as<std::string> {}, "completion words=3", "completion prompt-words=9..3",
            "completion until=2", "refund", "completion max-tokens=two", "completion weight");
    std::string error;
    CHECK_FALSE(parseMix("# comment\nbooking\n" + wrong, error));
    CHECK(error.find("line 3") == 0);
}

TEST_CASE("Mix, without a line, is refused", "[load]")
{
    std::string error;
    CHECK_FALSE(parseMix("# nothing\n\n", error));
    CHECK_FALSE(error.empty());
}
