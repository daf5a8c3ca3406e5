#include "relaysink.h"
#include "collectingsink.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::entry;

// Guards against the events of a second run inside the stream of a first one.
TEST_CASE("a stream that is not of completion chunks is not continued by another attempt")
{
    CollectingSink caller;
    RelaySink relay(caller, "r1", false);
    CHECK(relay.canContinue());
    REQUIRE(relay.begin("text/event-stream", {}));
    REQUIRE(relay.events("data: 1\n\n"));
    CHECK_FALSE(relay.canContinue());
    relay.nextAttempt({}, {}, {});
    CHECK_FALSE(relay.begin("text/event-stream", {}));
    CHECK_FALSE(relay.events("data: 1\n\n"));
    CHECK_FALSE(relay.whole({200, "text/plain", {}, "whole"}));
    CHECK(caller.heads == 1);
    CHECK(caller.text == "data: 1\n\n");
}

TEST_CASE("an attempt that handed over nothing is followed by any other")
{
    CollectingSink caller;
    RelaySink relay(caller, "r1", false);
    relay.nextAttempt({}, {}, {});
    CHECK(relay.canContinue());
    REQUIRE(relay.begin("text/event-stream", {}));
    CHECK(relay.events("data: 1\n\n"));
    CHECK(caller.text == "data: 1\n\n");
}
