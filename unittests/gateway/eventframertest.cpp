#include "eventframer.h"

#include <doctest/doctest.h>

using kumquathaven::gateway::EventCutter;

TEST_CASE("only whole events are handed out")
{
    EventCutter cutter;
    CHECK(cutter.feed("id: 1\ndata: a\n").empty());
    CHECK_FALSE(cutter.hasEvents());
    CHECK(cutter.feed("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda")
          == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(cutter.lastId() == "2");
    CHECK(cutter.takeRest() == "id: 3\nda");
    CHECK(cutter.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(cutter.lastId() == "3");
}

TEST_CASE("an event without an id keeps the last one")
{
    EventCutter cutter;
    cutter.feed("id: 7\n\n");
    cutter.feed(": comment\n\ndata: x\n\n");
    CHECK(cutter.hasEvents());
    CHECK(cutter.lastId() == "7");
}
