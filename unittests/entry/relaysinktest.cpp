#include "relaysink.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

/// Collects what the caller gets.
class CollectingSink : public AnswerSink
{
public:
    bool begin(const std::string &, const runtime::HeaderFields &) override
    {
        ++heads;
        return true;
    }
    bool events(const std::string &bytes) override
    {
        text += bytes;
        return true;
    }
    bool whole(const runtime::HttpReply &reply) override
    {
        ++heads;
        text += reply.body;
        return true;
    }
    bool gone() override { return false; }
    bool hasBegun() const override { return heads > 0; }

    int heads = 0;
    std::string text;
};

} // namespace

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
