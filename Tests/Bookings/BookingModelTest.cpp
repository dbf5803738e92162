#include "BookingModel.h"

#include <catch2/catch.hpp>
#include <iostream>

using almondscale::test::BookingFlaw;
using almondscale::test::BookingModel;

TEST_CASE("Booking protocol, two attempts in every interleaving with up to four faults, runs at most once")
{
    BookingModel model(2, 4, BookingFlaw::None);
    const bool held = model.search();
    std::cout << "model=bookings attempts=2 faults=4 states=" << model.states() << " ends=" << model.ends()
              << " ends_with_run=" << model.endsWithRun() << '\n';
    CAPTURE(model.breach());
    CHECK(held);
    CHECK(model.endsWithRun() > 0);
}

TEST_CASE("Booking protocol, three attempts in every interleaving with up to two faults, runs at most once")
{
    BookingModel model(3, 2, BookingFlaw::None);
    const bool held = model.search();
    std::cout << "model=bookings attempts=3 faults=2 states=" << model.states() << " ends=" << model.ends()
              << " ends_with_run=" << model.endsWithRun() << '\n';
    CAPTURE(model.breach());
    CHECK(held);
}

TEST_CASE("Booking protocol, two attempts without a fault, always runs once")
{
    BookingModel model(2, 0, BookingFlaw::None);
    CHECK(model.search());
    CHECK(model.ends() == model.endsWithRun());
}

TEST_CASE("Booking protocol, broken on purpose, is caught by the search")
{
    const auto flaw
        = GENERATE(BookingFlaw::TrustsLostAnswers, BookingFlaw::RepeatsSentCalls, BookingFlaw::SkipsMark);
    BookingModel model(2, 2, flaw);
    CHECK_FALSE(model.search());
    CHECK(model.breach().find("ran the booking twice") != std::string::npos);
}
