#include "Rules/RulesParser.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

// A text with rules of every keyword.
const std::string allRulesText = "# sorter\n"
                                 "model sorter context-tokens=4096 # ana\n"
                                 "\n"
                                 "engine e1 model=sorter data-centre=north address=10.0.0.1:80 role=prefill "
                                 "fencing=checked # ana\n"
                                 "engine e2 model=sorter data-centre=north address=10.0.0.2:80 "
                                 "fencing=ignored # ana\n"
                                 "instance desk data-centre=north address=10.0.0.3:80 # bo\n"
                                 "booking desk method=POST path=/bookings # bo\n"
                                 "service desk # bo\n"
                                 "limit * requests-per-second=2.5 # cy\n"
                                 "priority depot highest=7 # cy\n"
                                 "roles sorter role=decode floor=1 ceiling=3 # cy\n"
                                 "objective sorter organisation=* first-token-ms=560 token-gap-ms=34 "
                                 "target=0.95 # cy\n";

struct BadLine {
    const char* text;
    // A substring of the expected error: what was read or what is allowed.
    const char* expected;
};

} // namespace

TEST_CASE("RulesParser, a rule of each keyword, reads every value")
{
    const auto parsed = parseRules(allRulesText, RulesVersion(3));
    REQUIRE(parsed.errors.empty());
    const auto& rules = parsed.rules;
    CHECK(rules.version == RulesVersion(3));
    REQUIRE(rules.models.size() == 1);
    CHECK(rules.models[0].contextTokens == TokenCount(4096));
    REQUIRE(rules.engines.size() == 2);
    CHECK(rules.engines[0].role == EngineRole::Prefill);
    CHECK(rules.engines[0].checksFencing);
    CHECK(rules.engines[1].role == EngineRole::Mixed);
    CHECK_FALSE(rules.engines[1].checksFencing);
    CHECK(rules.engines[1].address.text() == "10.0.0.2:80");
    REQUIRE(rules.services.size() == 1);
    REQUIRE(rules.services[0].instances.size() == 1);
    REQUIRE(rules.services[0].bookingCalls.size() == 1);
    CHECK(rules.services[0].bookingCalls[0].pathPrefix == "/bookings");
    CHECK(rules.limits.at(0).requestsPerSecond == 2.5);
    CHECK(rules.priorities.at(0).highest == Priority(7));
    CHECK(rules.roles.at(0).ceiling == 3);
    CHECK(rules.objectives.at(0).firstToken == std::chrono::milliseconds(560));
    CHECK(rules.objectives.at(0).line == 12);
}

TEST_CASE("RulesParser, one bad line after good ones, names the line, what was read and what is allowed")
{
    const auto bad = GENERATE(BadLine { "limit depot requests-per-second=1", "without a comment" },
        BadLine { "limit depot requests-per-second=1 #  ", "without a comment" },
        BadLine { "limti depot requests-per-second=1 # x", "'limti'; allowed: model, engine" },
        BadLine { "limit # x", "without a name" },
        BadLine { "limit requests-per-second=1 # x", "without a name" },
        BadLine { "limit depot # x", "without the key 'requests-per-second'" },
        BadLine { "limit depot rps=1 requests-per-second=1 # x", "'rps' of 'limit'; allowed: requests" },
        BadLine { "limit depot requests-per-second # x", "'requests-per-second'; allowed: key=value" },
        BadLine { "limit depot requests-per-second= # x", "allowed: key=value" },
        BadLine { "limit depot requests-per-second=1 requests-per-second=2 # x", "stands twice" },
        BadLine { "limit depot requests-per-second=0 # x", "is '0'; allowed: a number above 0" },
        BadLine { "limit depot requests-per-second=nan # x", "is 'nan'; allowed" },
        BadLine { "limit de/pot requests-per-second=1 # x", "'de/pot'; allowed: up to 100 letters" },
        BadLine { "limit * requests-per-second=1 # x", "the first is on line 9" },
        BadLine { "priority depot highest=1 # x", "the first is on line 10" },
        BadLine { "priority other highest=-1 # x", "is '-1'; allowed: a whole number from 0" },
        BadLine { "priority other highest=1x # x", "is '1x'" },
        BadLine { "model sorter context-tokens=1 # x", "the first is on line 2" },
        BadLine { "model other context-tokens=0 # x", "is '0'; allowed" },
        BadLine { "model other context-tokens=99999999999999999999 # x", "allowed: a whole number" },
        BadLine { "service desk # x", "the first is on line 8" },
        BadLine { "service other port=1 # x", "'port' of 'service'; allowed: no key" },
        BadLine { "engine e3 model=nosuch data-centre=n address=10.0.0.9:1 fencing=checked # x",
            "unknown model 'nosuch'" },
        BadLine { "engine e3 model=sorter data-centre=n address=host:1 fencing=checked # x",
            "'host:1'; allowed: IP:PORT" },
        BadLine { "engine e3 model=sorter data-centre=n address=10.0.0.9:1 fencing=maybe # x",
            "'maybe'; allowed: checked, ignored" },
        BadLine { "engine e3 model=sorter data-centre=n address=10.0.0.9:1 # x", "the key 'fencing'" },
        BadLine { "engine e3 model=sorter data-centre=n address=10.0.0.9:1 role=boss fencing=checked # x",
            "'boss'; allowed: mixed, prefill, decode" },
        BadLine { "engine e1 model=sorter data-centre=n address=10.0.0.9:1 fencing=checked # x",
            "the first is on line 4" },
        BadLine { "engine e3 model=sorter data-centre=n address=10.0.0.1:80 fencing=checked # x",
            "'address 10.0.0.1:80'; the first is on line 4" },
        BadLine { "instance nosuch data-centre=n address=10.0.0.9:1 # x", "unknown service 'nosuch'" },
        BadLine { "instance desk data-centre=n address=10.0.0.3:80 # x", "the first is on line 6" },
        BadLine { "booking desk method=POST path=/bookings # x", "the first is on line 7" },
        BadLine { "booking desk method=BREW path=/x # x", "'BREW'; allowed: POST" },
        BadLine { "booking desk method=POST path=x # x", "begins with '/'" },
        BadLine { "booking nosuch method=POST path=/x # x", "unknown service 'nosuch'" },
        BadLine { "roles sorter role=prefill floor=3 ceiling=2 # x", "floor is 3 and ceiling is 2" },
        BadLine { "roles sorter role=decode floor=1 ceiling=2 # x", "the first is on line 11" },
        BadLine { "roles nosuch floor=1 ceiling=2 # x", "unknown model 'nosuch'" },
        BadLine { "objective sorter organisation=* first-token-ms=1 token-gap-ms=1 target=0.9 # x",
            "the first is on line 12" },
        BadLine { "objective sorter organisation=a first-token-ms=1 token-gap-ms=1 target=1 # x",
            "target is '1'; allowed" },
        BadLine { "objective sorter organisation=a first-token-ms=1.5 token-gap-ms=1 target=0.5 # x",
            "first-token-ms is '1.5'" },
        BadLine { "limit de\x01pot requests-per-second=1 # x", "control character" });
    const auto parsed = parseRules(allRulesText + bad.text + "\n");
    CAPTURE(bad.text);
    REQUIRE(parsed.errors.size() == 1);
    CAPTURE(parsed.errors[0].text);
    CHECK(parsed.errors[0].line == 13);
    CHECK(parsed.errors[0].text.find(bad.expected) != std::string::npos);
}

TEST_CASE("RulesParser, several bad lines, reports each in the order of the lines")
{
    const auto parsed = parseRules("engine e model=m data-centre=n address=1.2.3.4:5 fencing=checked # a\n"
                                   "limit depot requests-per-second=1\n"
                                   "model m context-tokens=x # a\n");
    REQUIRE(parsed.errors.size() == 2);
    CHECK(parsed.errors[0].line == 2);
    CHECK(parsed.errors[1].line == 3);
}

TEST_CASE("RulesParser, a line or a text over its maximum size, is rejected")
{
    const auto longLine = parseRules("limit depot requests-per-second=1 # " + std::string(3000, 'x'));
    REQUIRE(longLine.errors.size() == 1);
    CHECK(longLine.errors[0].text.find("at most 2000") != std::string::npos);
    CHECK_FALSE(parseRules(std::string(maxRulesBytes + 1, '\n')).ok());
}
