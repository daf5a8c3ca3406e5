#include "fixture.h"

#include "kumquathaven/routing/firsttoken.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace routingtest;

namespace {

constexpr std::size_t urgent = 0;
constexpr std::size_t background = 2;

/// Sends a request to one engine and returns its ticket.
std::uint64_t sent(Engines &t, Slot slot, std::size_t priority, std::uint32_t answerTokens = 0)
{
    Request request = t.request(chain(2));
    request.candidates = {slot};
    request.priority = priority;
    request.completeAnswerTokens = answerTokens;
    const auto choice = choose(t.fleet, request, t.now);
    REQUIRE(choice);
    return commit(t.fleet, request, *choice, t.now);
}

/// Returns a wait in whole tenths of a second.
long tenths(Duration wait)
{
    return std::lround(toSeconds(wait) * 10);
}

} // namespace

TEST_CASE("a wait counts for its own class and for lower ones")
{
    struct Case
    {
        const char *name;
        std::size_t waiting;
        std::uint32_t answerTokens;
        bool hasFirstToken;
        std::size_t asked;
        long expected;
    };
    const Case cases[] = {
        {"the same class", urgent, 0, false, urgent, 30},
        {"an urgent request waits, so background ones wait too", urgent, 0, false, background, 30},
        {"a background request waits, urgent ones may not", background, 0, false, urgent, 0},
        {"a first token after the wait", urgent, 0, true, urgent, 30},
        {"a background first token after the wait", background, 0, true, urgent, 0},
        {"an answer that is not streamed is being generated", urgent, 1000, false, urgent, 0},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        Engines t(1);
        const auto ticket = sent(t, 0, it.waiting, it.answerTokens);
        t.now += seconds(3);
        if (it.hasFirstToken)
            recordFirstToken(t.fleet, 0, ticket, t.now);
        CHECK(tenths(observedWait(t.fleet, 0, it.asked, t.now)) == it.expected);
    }
}

TEST_CASE("a wait estimate decays, and a report of an empty queue resets it")
{
    Engines t(1);
    const auto first = sent(t, 0, urgent);
    t.now += seconds(8);
    recordGivenUp(t.fleet, 0, first, t.now);
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 120);
    t.now += t.fleet.policy.waitHalfLife;
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 60);
    // The request was given up and would have waited longer, so it does not lower the estimate.
    recordGivenUp(t.fleet, 0, sent(t, 0, urgent), t.now);
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 60);
    recordFirstToken(t.fleet, 0, sent(t, 0, urgent), t.now);
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 30);
    t.now += milliseconds(1);
    t.report(0, 500);
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 30);
    t.report(0, 0);
    CHECK(tenths(observedWait(t.fleet, 0, urgent, t.now)) == 0);
}

TEST_CASE("requests avoid an engine whose observed wait exceeds their deadline")
{
    struct Case
    {
        const char *name;
        std::size_t waiting;
        long deadlineSeconds;
        Slot chosen;
    };
    const Case cases[] = {
        {"an urgent request waits there past the deadline", urgent, 3, 1},
        {"an urgent request waits there within the deadline", urgent, 5, 0},
        {"an urgent request waits there, and there is no deadline", urgent, 0, 0},
        {"a background request waits there, which urgent ones overtake", background, 3, 0},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        Engines t(2);
        const PrefixChain prompt = chain(20, "c", "1", 'b');
        t.event(0, 1, true, prompt);
        sent(t, 0, it.waiting);
        t.now += seconds(4);
        t.report(0, 0);
        t.report(1, 0);
        Request request = t.request(prompt);
        request.priority = urgent;
        if (it.deadlineSeconds > 0)
            request.deadline = t.now + seconds(it.deadlineSeconds);
        const auto choice = choose(t.fleet, request, t.now);
        REQUIRE(choice);
        CHECK(choice->slot == it.chosen);
        CHECK(choice->reason == (it.chosen == 0 ? ChoiceReason::Cached : ChoiceReason::Spread));
        const auto least = minObservedWait(t.fleet, {0}, urgent, true, t.now);
        CHECK(tenths(least) == (it.waiting == urgent ? 40 : 0));
        CHECK(minObservedWait(t.fleet, {0, 1}, urgent, true, t.now) == Duration(0));
        // An engine that is too late is still chosen if it is the only candidate.
        request.candidates = {0};
        CHECK(choose(t.fleet, request, t.now)->slot == 0);
    }
}

TEST_CASE("an attempt is retried elsewhere while the deadline can still be met")
{
    struct Case
    {
        const char *name;
        long waitedMs;
        long deadlineMs;
        std::uint64_t queueElsewhere;
        bool isDead;
        bool isOverdue;
        bool isInTime;
    };
    const Case cases[] = {
        {"a short wait", 900, 2000, 0, false, false, true},
        {"more than half of the time is used up", 1100, 2000, 0, false, true, true},
        {"the other engine is too late as well", 1100, 2000, 30000, false, true, false},
        {"the deadline has passed", 2100, 2000, 0, false, true, false},
        {"no deadline", 60000, 0, 0, false, false, true},
        {"no deadline and a dead engine", 100, 0, 30000, true, true, true},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        Engines t(2);
        const auto ticket = sent(t, 0, urgent);
        std::optional<TimePoint> deadline;
        if (it.deadlineMs > 0)
            deadline = t.now + milliseconds(it.deadlineMs);
        t.now += milliseconds(it.waitedMs);
        t.report(1, it.queueElsewhere);
        if (it.isDead)
            eject(t.fleet.upstreams[0].health, EjectionReason::Silent, t.fleet.policy, t.now);
        Request request = t.request(chain(2));
        request.candidates = {1};
        request.deadline = deadline;
        CHECK(isOverdue(t.fleet, 0, ticket, deadline, t.now) == it.isOverdue);
        CHECK(canMeetDeadlineElsewhere(t.fleet, request, t.now) == it.isInTime);
        recordFirstToken(t.fleet, 0, ticket, t.now);
        CHECK_FALSE(isOverdue(t.fleet, 0, ticket, deadline, t.now));
    }
}

TEST_CASE("a request is given up at its deadline plus its service time")
{
    Policy policy;
    policy.initialPrefillSpeed = 4;
    policy.minPrefillSpeed = 2;
    Engines t(1, policy);
    const TimePoint deadline = t.now + seconds(5);
    // The prompt has eight tokens, and the answer that is not streamed ten.
    CHECK(giveUpAt(t.fleet, 0, sent(t, 0, urgent), deadline) == deadline + seconds(2));
    CHECK(giveUpAt(t.fleet, 0, sent(t, 0, urgent, 10), deadline)
          == deadline + seconds(2) + 10 * policy.tokenAllowance);
    CHECK_FALSE(giveUpAt(t.fleet, 0, sent(t, 0, urgent), std::nullopt));
    // The service time is computed with the minimum speed if the engine's estimate is lower.
    t.fleet.policy.minPrefillSpeed = 8;
    CHECK(giveUpAt(t.fleet, 0, sent(t, 0, urgent), deadline) == deadline + seconds(1));
}

TEST_CASE("giving up is a failure only of an engine that sends no first tokens")
{
    for (const bool isStuck : {true, false}) {
        Engines t(1);
        const auto ticket = sent(t, 0, urgent);
        if (!isStuck)
            recordFirstToken(t.fleet, 0, sent(t, 0, urgent), t.now + seconds(1));
        t.now += seconds(5);
        const std::uint32_t samples = t.fleet.upstreams[0].health.samples;
        const TimePoint lastReceivedAt = t.fleet.upstreams[0].health.lastReceivedAt;
        recordGivenUp(t.fleet, 0, ticket, t.now);
        CAPTURE(isStuck);
        CHECK(t.fleet.upstreams[0].health.samples == samples + (isStuck ? 1 : 0));
        CHECK(t.fleet.upstreams[0].health.lastReceivedAt == lastReceivedAt);
    }
}
