#include "ReadPacer.h"

#include <catch2/catch.hpp>

using namespace almondscale;
using namespace std::chrono_literals;

TEST_CASE("Read of a store that is slow, gets the time that its responses take")
{
    ReadPacer pacer(200ms, 100ms);
    pacer.onFailure();
    CHECK(pacer.answerTime() == 200ms);
    pacer.onFailure();
    CHECK(pacer.answerTime() == 400ms);
    pacer.onAnswer(250ms);
    CHECK_FALSE(pacer.failing());
    CHECK(pacer.answerTime() == 750ms);
    pacer.onAnswer(3ms);
    CHECK(pacer.answerTime() == 200ms);
}

TEST_CASE("Reads of a store that is away, are repeated fast at first and slowly in the end")
{
    ReadPacer pacer(200ms, 100ms);
    pacer.onFailure();
    CHECK(pacer.retryDelay(0) == 50ms);
    CHECK(pacer.retryDelay(1) == 100ms);
    pacer.onFailure();
    CHECK(pacer.retryDelay(1) == 100ms);
    pacer.onFailure();
    CHECK(pacer.retryDelay(1) == 400ms);
    for (int i = 0; i < 100; ++i)
        pacer.onFailure();
    CHECK(pacer.retryDelay(0) == 800ms);
    CHECK(pacer.retryDelay(1) == 1600ms);
    CHECK(pacer.answerTime() == 900ms);
}
