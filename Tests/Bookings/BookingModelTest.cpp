#include "BookingModel.h"

#include <catch2/catch.hpp>
#include <iostream>

using almondscale::test::BookingModel;
using almondscale::test::InjectedDefect;

TEST_CASE("Booking protocol, two attempts in every interleaving with up to four faults, runs at most once")
{
    BookingModel model(2, 4, InjectedDefect::None);
    const bool held = model.search();
    std::cout << "model=bookings attempts=2 faults=4 states=" << model.states()
              << " ends=" << model.terminalStates() << " ends_with_run=" << model.terminalStatesWithRun()
              << '\n';
    CAPTURE(model.violation());
    CHECK(held);
    CHECK(model.terminalStatesWithRun() > 0);
}

TEST_CASE("Booking protocol, three attempts in every interleaving with up to two faults, runs at most once")
{
    BookingModel model(3, 2, InjectedDefect::None);
    const bool held = model.search();
    std::cout << "model=bookings attempts=3 faults=2 states=" << model.states()
              << " ends=" << model.terminalStates() << " ends_with_run=" << model.terminalStatesWithRun()
              << '\n';
    CAPTURE(model.violation());
    CHECK(held);
}

TEST_CASE("Booking protocol, two attempts without a fault, always runs once")
{
    BookingModel model(2, 0, InjectedDefect::None);
    CHECK(model.search());
    CHECK(model.terminalStates() == model.terminalStatesWithRun());
}

TEST_CASE("Booking protocol, with an injected defect, is found to run twice")
{
    const auto defect = GENERATE(
        InjectedDefect::TrustsLostAnswers, InjectedDefect::RepeatsSentCalls, InjectedDefect::SkipsMark);
    BookingModel model(2, 2, defect);
    CHECK_FALSE(model.search());
    CHECK(model.violation().find("ran the booking twice") != std::string::npos);
}
