#include "Serving/EventStreamSplitter.h"

#include <catch2/catch.hpp>

using namespace almondscale;

TEST_CASE("Event splitter, given parts of events, returns only complete events")
{
    EventStreamSplitter splitter;
    CHECK(splitter.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.lastId() == "1");
    CHECK(splitter.hasPartialEvent());
    CHECK(splitter.append("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastId() == "2");
    CHECK_FALSE(splitter.hasPartialEvent());
}

TEST_CASE("Event splitter, given an id field name inside data, does not take it for an id")
{
    EventStreamSplitter splitter;
    splitter.append("id: 7\ndata: the id: 9 of it\n\n");
    CHECK(splitter.lastId() == "7");
}

TEST_CASE("Event splitter, with its partial event discarded, continues with the next server's bytes")
{
    EventStreamSplitter splitter;
    splitter.append("id: 3\ndata: c\n\nid: 4\ndata: half");
    splitter.discardPartialEvent();
    CHECK(splitter.append("id: 4\r\ndata: d\r\n\r\n") == "id: 4\r\ndata: d\r\n\r\n");
    CHECK(splitter.lastId() == "4");
}
