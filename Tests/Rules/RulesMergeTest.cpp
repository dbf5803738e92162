#include "Rules/RulesMerge.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

const std::string base = "a\nb\nc\nd\n";

} // namespace

TEST_CASE("RulesMerge, changes of different lines, keeps both")
{
    CHECK(mergeRules(base, "A\nb\nc\nd\n", "a\nb\nc\nD\n").text == "A\nb\nc\nD\n");
}

TEST_CASE("RulesMerge, changes of neighbouring lines, keeps both")
{
    CHECK(mergeRules(base, "a\nB\nc\nd\n", "a\nb\nC\nd\n").text == "a\nB\nC\nd\n");
    CHECK(mergeRules(base, "A\nB\nc\nd\n", "a\nb\nC\nD\n").text == "A\nB\nC\nD\n");
}

TEST_CASE("RulesMerge, lines added at the same place, keeps the winner's first")
{
    CHECK(mergeRules(base, base + "w\n", base + "l\n").text == base + "w\nl\n");
}

TEST_CASE("RulesMerge, the same change on both sides, makes it once")
{
    CHECK(mergeRules(base, "a\nc\nd\ne\n", "a\nc\nd\ne\n").text == "a\nc\nd\ne\n");
}

TEST_CASE("RulesMerge, a line removed by one and added by the other elsewhere, does both")
{
    CHECK(mergeRules(base, "a\nc\nd\n", "a\nb\nc\nx\nd\n").text == "a\nc\nx\nd\n");
}

TEST_CASE("RulesMerge, changes of the same line, names the lines of both")
{
    const auto merge = mergeRules(base, "new\na\nb\nW\nd\n", "a\nb\nL\nd\n");
    REQUIRE(merge.clashes.size() == 1);
    CHECK(merge.text.empty());
    const auto& clash = merge.clashes[0];
    CHECK(clash.baseLine == 3);
    CHECK(clash.winnerLine == 4);
    CHECK(clash.proposedLine == 3);
    CHECK(clash.winnerLines == std::vector<std::string> { "W" });
    CHECK(clash.proposedLines == std::vector<std::string> { "L" });
}

TEST_CASE("RulesMerge, a line changed by one and removed by the other, clashes")
{
    CHECK_FALSE(mergeRules(base, "a\nc\nd\n", "a\nB\nc\nd\n").ok());
    CHECK_FALSE(mergeRules(base, "a\nB\nc\nd\n", "a\nc\nd\n").ok());
}

TEST_CASE("RulesMerge, a text of many repeated lines, still finds the changes")
{
    const std::string repeated = "x\nx\nx\nx\ny\nx\nx\n";
    CHECK(mergeRules(repeated, "X\nx\nx\nx\ny\nx\nx\n", "x\nx\nx\nx\ny\nx\nZ\n").text
        == "X\nx\nx\nx\ny\nx\nZ\n");
}
