#include "kumquathaven/overlay/uplink.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::overlay;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// Reviews the uplink every 25 ms, with a parent that responds from \p from to \p to.
void run(Uplink &uplink, int from, int to, const std::string &responding)
{
    for (int ms = from; ms < to; ms += 25) {
        const UplinkStep step = review(uplink, at(ms));
        const bool isContacted =
            step.connect == responding || uplink.parent == responding || uplink.next == responding;
        if (isContacted && !responding.empty())
            recordHeard(uplink, responding, at(ms + 1));
    }
}

Uplink uplinkTo(std::vector<std::string> candidates)
{
    Uplink uplink;
    setCandidates(uplink, std::move(candidates), at(0));
    return uplink;
}

} // namespace

TEST_CASE("the first candidate that responds becomes the parent")
{
    Uplink uplink = uplinkTo({"a", "b", "c"});
    CHECK(review(uplink, at(0)).connect == "a");
    CHECK(review(uplink, at(25)).connect.empty());
    CHECK_FALSE(isRoot(uplink));
    run(uplink, 50, 600, "b");
    CHECK(uplink.parent == "b");
    CHECK_FALSE(isRoot(uplink));
}

TEST_CASE("an instance without candidates is the root, and one whose candidates are silent for now")
{
    Uplink alone;
    CHECK(isRoot(alone));
    Uplink uplink = uplinkTo({"a", "b"});
    run(uplink, 0, 1'000, "");
    CHECK(isRoot(uplink));
    run(uplink, 1'000, 2'500, "b");
    CHECK(uplink.parent == "b");
    CHECK_FALSE(isRoot(uplink));
}

TEST_CASE("a silent parent is replaced, and comes back when it responds again")
{
    Uplink uplink = uplinkTo({"a", "b"});
    run(uplink, 0, 1'000, "a");
    REQUIRE(uplink.parent == "a");
    run(uplink, 1'000, 3'000, "b");
    CHECK(uplink.parent == "b");
    bool hasReplaced = false;
    for (int ms = 3'000; ms < 8'000; ms += 25) {
        review(uplink, at(ms));
        if (uplink.parent == "b")
            recordHeard(uplink, "b", at(ms));
        const UplinkStep step = recordHeard(uplink, "a", at(ms));
        hasReplaced = hasReplaced || step.hasLostParent;
    }
    CHECK(uplink.parent == "a");
    CHECK(hasReplaced);
}

TEST_CASE("a parent is kept while a preferred candidate is tried in vain")
{
    Uplink uplink = uplinkTo({"a", "b"});
    run(uplink, 0, 1'500, "b");
    REQUIRE(uplink.parent == "b");
    for (int ms = 1'500; ms < 20'000; ms += 25) {
        const UplinkStep step = review(uplink, at(ms));
        CHECK_FALSE(step.hasLostParent);
        recordHeard(uplink, "b", at(ms));
    }
    CHECK(uplink.parent == "b");
}

TEST_CASE("a pause of this process is not taken for silence of its parent")
{
    Uplink uplink = uplinkTo({"a", "b"});
    run(uplink, 0, 1'000, "a");
    const UplinkStep step = review(uplink, at(9'000));
    CHECK_FALSE(step.hasLostParent);
    CHECK(uplink.parent == "a");
    // The parent has ended during the pause.
    run(uplink, 9'025, 12'000, "b");
    CHECK(uplink.parent == "b");
}

TEST_CASE("a closed link counts at once, and a removed candidate is no parent")
{
    Uplink uplink = uplinkTo({"a", "b", "c"});
    run(uplink, 0, 500, "a");
    CHECK(recordClosed(uplink, "a", at(500)).hasLostParent);
    CHECK(review(uplink, at(501)).connect == "a");
    recordClosed(uplink, "a", at(502));
    CHECK(review(uplink, at(503)).connect == "b");
    recordHeard(uplink, "b", at(504));
    REQUIRE(uplink.parent == "b");
    const UplinkStep step = setCandidates(uplink, {"a", "c"}, at(600));
    CHECK(step.hasLostParent);
    CHECK(step.disconnect == std::vector<std::string>{"b"});
    CHECK(uplink.parent.empty());
}
