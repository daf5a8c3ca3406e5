#include "eventframer.h"

#include <doctest/doctest.h>

using kumquathaven::gateway::EventFramer;
using kumquathaven::gateway::maxEventBytes;

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

TEST_CASE("events are found however their bytes are divided")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: c\n\nid: 3\nd";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        EventFramer framer;
        std::string events;
        for (std::size_t at = 0; at < stream.size(); at += size)
            events += framer.feed(stream.substr(at, size));
        CHECK(events + framer.takePartial() == stream);
        CHECK(framer.lastId() == "2");
    }
}

// Guards against a buffer that grows for as long as a faulty server sends.
TEST_CASE("an event that does not end is too long at a fixed size")
{
    EventFramer framer;
    framer.feed("id: 1\n\n" + std::string(maxEventBytes, 'x'));
    CHECK_FALSE(framer.isTooLong());
    framer.feed("x");
    CHECK(framer.isTooLong());
    framer.takePartial();
    CHECK_FALSE(framer.isTooLong());
    // Complete events do not count.
    for (int n = 0; n < 40; ++n)
        framer.feed("data: " + std::string(maxEventBytes / 10, 'x') + "\n\n");
    CHECK_FALSE(framer.isTooLong());
}
