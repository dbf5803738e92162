#include "Roles/DemandReport.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("DemandReport, written and read back, is the same")
{
    DemandReport report;
    report.uptime = std::chrono::milliseconds(61500);
    report.requests = 12;
    report.prefillTokens = TokenCount(72000);
    report.decodeTokens = TokenCount(96);
    report.contextTokens = TokenCount(72096);
    const auto read = readDemandReport(writeDemandReport(report));
    REQUIRE(read);
    CHECK(read->uptime == report.uptime);
    CHECK(read->requests == 12);
    CHECK(read->prefillTokens == report.prefillTokens);
    CHECK(read->decodeTokens == report.decodeTokens);
    CHECK(read->contextTokens == report.contextTokens);
}

TEST_CASE("DemandReport, a text that is truncated, too long or negative, is refused")
{
    for (const char* text : { "", "1 2 3 4", "1 2 3 4 5 6", "1 -2 3 4 5", "1 2 x 4 5", "1 2 3 4 5x" }) {
        CAPTURE(text);
        CHECK_FALSE(readDemandReport(text));
    }
}
