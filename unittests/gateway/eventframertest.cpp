#include "eventframer.h"

#include <doctest/doctest.h>

using kumquathaven::gateway::EventFramer;

TEST_CASE("an event is held back until it is complete")
{
    EventFramer framer;
    CHECK(framer.feed("id: 1\ndata: a\n").empty());
    CHECK_FALSE(framer.hasEvents());
    CHECK(framer.feed("\nid: 2\r\ndata: b\r\n\r\nid: 3\nda")
          == "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    CHECK(framer.lastId() == "2");
    CHECK(framer.takePartial() == "id: 3\nda");
    CHECK(framer.feed("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK(framer.lastId() == "3");
}

TEST_CASE("an event without an id keeps the last one")
{
    EventFramer framer;
    framer.feed("id: 7\n\n");
    framer.feed(": comment\n\ndata: x\n\n");
    CHECK(framer.hasEvents());
    CHECK(framer.lastId() == "7");
}
