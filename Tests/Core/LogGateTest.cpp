#include "Core/LogGate.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

LogBudget budget()
{
    LogBudget made;
    made.linesPerSecond = 10;
    made.burst = 20;
    made.reserved = 0.25;
    return made;
}

} // namespace

TEST_CASE("Log, under more load than its budget, leaves lines out and counts them")
{
    LogGate gate(budget());
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += gate.admit(LogLevel::Info, i / 100.0, true) ? 1 : 0;
    // Ten seconds of ten lines, and the burst without its reserve.
    CHECK(written <= 100 + 15);
    CHECK(written >= 100);
    CHECK(gate.takeOmitted() == static_cast<std::uint64_t>(1000 - written));
    CHECK(gate.takeOmitted() == 0);
}

TEST_CASE("Log, spent by ordinary lines, still takes warnings")
{
    LogGate gate(budget());
    while (gate.admit(LogLevel::Info, 0, true)) { }
    CHECK(gate.admit(LogLevel::Warning, 0, true));
}

TEST_CASE("Log whose reader does not read is left out, not waited for")
{
    LogGate gate(budget());
    CHECK_FALSE(gate.admit(LogLevel::Error, 0, false));
    CHECK(gate.takeOmitted() == 1);
}

TEST_CASE("Log without a budget takes every line")
{
    LogGate gate;
    for (int i = 0; i < 1000; ++i)
        CHECK(gate.admit(LogLevel::Info, 0, true));
}
