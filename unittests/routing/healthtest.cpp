#include "fixture.h"

#include <doctest/doctest.h>

using namespace routingtest;

namespace {

bool acceptsRequest(const Engines &t, Slot slot, bool repeatable = true)
{
    Request request = t.request(chain(2));
    request.candidates = {slot};
    request.repeatable = repeatable;
    return choose(t.fleet, request, t.now).has_value();
}

void fail(Engines &t, Slot slot, Failure failure, int times)
{
    for (int n = 0; n < times; ++n) {
        const auto ticket = recordSent(t.fleet, slot, chain(2), 8, Duration(0), t.now);
        recordFailed(t.fleet, slot, ticket, failure, t.now);
    }
}

/// Advances the clock by \p length while the upstreams \p alive keep reporting their load.
void advance(Engines &t, Duration length, const std::vector<Slot> &alive)
{
    for (const TimePoint end = t.now + length; t.now < end;) {
        t.now += milliseconds(100);
        for (const Slot it : alive)
            t.report(it, 0);
        reviewHealth(t.fleet, t.now);
    }
}

} // namespace

TEST_CASE("each kind of fault ejects an upstream for its reason")
{
    struct Case
    {
        const char *name;
        Failure failure;
        int times;
        bool reports;
        bool ejected;
        EjectionReason reason;
    };
    const Case cases[] = {
        {"one failed connection", Failure::Connect, 1, true, false, EjectionReason::None},
        {"two failed connections", Failure::Connect, 2, true, true, EjectionReason::Unreachable},
        {"one lost connection", Failure::Cut, 1, true, false, EjectionReason::None},
        {"repeated lost connections", Failure::Cut, 6, true, true, EjectionReason::Errors},
        {"refused requests", Failure::Refused, 6, true, true, EjectionReason::Errors},
        {"timeouts, still reporting", Failure::Timeout, 6, true, true, EjectionReason::Errors},
        {"silent", Failure::Timeout, 1, false, true, EjectionReason::Silent},
        {"no fault", Failure::Cut, 0, true, false, EjectionReason::None},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        Engines t(4);
        fail(t, 0, it.failure, it.times);
        if (it.reports)
            reviewHealth(t.fleet, t.now);
        else
            advance(t, t.fleet.policy.deadAfter + milliseconds(200), {1, 2, 3});
        CHECK(acceptsRequest(t, 0) == !it.ejected);
        CHECK(t.fleet.upstreams[0].health.reason == it.reason);
        CHECK(acceptsRequest(t, 1));
    }
}

TEST_CASE("a slow upstream that is alive is an outlier, not dead")
{
    Engines t(4);
    for (int n = 0; n < 30; ++n) {
        const auto ticket = recordSent(t.fleet, 0, chain(2), 8, milliseconds(100), t.now);
        recordFirstToken(t.fleet, 0, ticket, t.now + seconds(3));
        recordFinished(t.fleet, 0, ticket, 0, t.now + seconds(3));
    }
    reviewHealth(t.fleet, t.now);
    CHECK(t.fleet.upstreams[0].health.reason == EjectionReason::Slow);
    CHECK_FALSE(meansDead(EjectionReason::Slow));
}

TEST_CASE("outliers beyond the limit are not ejected, dead upstreams are")
{
    Engines t(10);
    for (Slot slot = 0; slot < 8; ++slot)
        fail(t, slot, Failure::Cut, 8);
    reviewHealth(t.fleet, t.now);
    int ejected = 0;
    for (const UpstreamView &it : t.fleet.upstreams)
        ejected += it.health.state == HealthState::Ejected ? 1 : 0;
    CHECK(ejected == 3);
    for (Slot slot = 0; slot < 9; ++slot)
        fail(t, slot, Failure::Connect, 2);
    reviewHealth(t.fleet, t.now);
    const auto choice = choose(t.fleet, t.request(chain(2)), t.now);
    REQUIRE(choice);
    CHECK(choice->slot == 9);
}

TEST_CASE("a half-open upstream gets one repeatable trial at a time")
{
    Engines t(4);
    fail(t, 0, Failure::Cut, 6);
    reviewHealth(t.fleet, t.now);
    REQUIRE_FALSE(acceptsRequest(t, 0));
    advance(t, t.fleet.policy.firstEjection, {0, 1, 2, 3});
    REQUIRE(t.fleet.upstreams[0].health.state == HealthState::HalfOpen);
    CHECK_FALSE(acceptsRequest(t, 0, false));
    REQUIRE(acceptsRequest(t, 0));
    const auto trial = recordSent(t.fleet, 0, chain(2), 8, Duration(0), t.now);
    CHECK_FALSE(acceptsRequest(t, 0));

    SUBCASE("that succeeds and ends the ejection")
    {
        recordFirstToken(t.fleet, 0, trial, t.now);
        CHECK(acceptsRequest(t, 0, false));
        CHECK(t.fleet.upstreams[0].health.ejections == 0);
    }
    SUBCASE("that fails and doubles it")
    {
        recordFailed(t.fleet, 0, trial, Failure::Cut, t.now);
        advance(t, t.fleet.policy.firstEjection, {0, 1, 2, 3});
        CHECK_FALSE(acceptsRequest(t, 0));
        advance(t, t.fleet.policy.firstEjection, {0, 1, 2, 3});
        CHECK(acceptsRequest(t, 0));
    }
}

TEST_CASE("a dead upstream becomes half-open once it reports, a restarted one is used at once")
{
    Engines t(2);
    fail(t, 0, Failure::Connect, 2);
    reviewHealth(t.fleet, t.now);
    REQUIRE_FALSE(acceptsRequest(t, 0));
    SUBCASE("the same incarnation")
    {
        t.report(0, 0);
        CHECK(t.fleet.upstreams[0].health.state == HealthState::HalfOpen);
    }
    SUBCASE("a new incarnation")
    {
        t.report(0, 0, 78);
        CHECK(t.fleet.upstreams[0].health.state == HealthState::Healthy);
        CHECK(t.fleet.upstreams[0].knowledge == CacheKnowledge::Never);
    }
    CHECK(acceptsRequest(t, 0));
}

TEST_CASE("a failure of an earlier incarnation does not count against the current one")
{
    Engines t(1);
    const auto ticket = recordSent(t.fleet, 0, chain(2), 8, Duration(0), t.now);
    t.report(0, 0, 78);
    recordFailed(t.fleet, 0, ticket, Failure::Cut, t.now);
    CHECK(t.fleet.upstreams[0].health.samples == 0);
}

TEST_CASE("leaving and loading upstreams get no new requests")
{
    Engines t(2);
    t.fleet.upstreams[0].leaving = true;
    t.fleet.upstreams[1].loading = true;
    CHECK_FALSE(acceptsRequest(t, 0));
    CHECK_FALSE(acceptsRequest(t, 1));
}

TEST_CASE("retries stay within the budget")
{
    Engines t(1);
    const int reserve = static_cast<int>(t.fleet.policy.retryReserve);
    int granted = 0;
    for (int n = 0; n < 1000; ++n) {
        earnRetry(t.fleet);
        granted += spendRetry(t.fleet) ? 1 : 0;
        granted += spendRetry(t.fleet) ? 1 : 0;
    }
    CHECK(granted <= reserve + 100);
    CHECK(granted >= 100);
}
