#include "Serving/EventCutter.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("Event cutter, given pieces of events, lets only whole events pass")
{
    EventCutter cutter;
    CHECK(cutter.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cutter.lastId() == "1");
    CHECK(cutter.unfinished());
    CHECK(cutter.take("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(cutter.lastId() == "2");
    CHECK_FALSE(cutter.unfinished());
}

TEST_CASE("Event cutter, finding the word of an id inside data, does not take it for one")
{
    EventCutter cutter;
    cutter.take("id: 7\ndata: the id: 9 of it\n\n");
    CHECK(cutter.lastId() == "7");
}

TEST_CASE("Event cutter, told to drop what is unfinished, goes on with the next server's bytes")
{
    EventCutter cutter;
    cutter.take("id: 3\ndata: c\n\nid: 4\ndata: half");
    cutter.dropUnfinished();
    CHECK(cutter.take("id: 4\r\ndata: d\r\n\r\n") == "id: 4\r\ndata: d\r\n\r\n");
    CHECK(cutter.lastId() == "4");
}
