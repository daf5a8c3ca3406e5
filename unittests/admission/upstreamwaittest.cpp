#include "kumquathaven/admission/controller.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::admission;

namespace {

constexpr Duration second = std::chrono::seconds(1);

TimePoint atSecond(double seconds)
{
    return TimePoint{} + std::chrono::hours(1) + fromSeconds(seconds);
}

Request make(RequestId id)
{
    Request request;
    request.id = id;
    request.customer = "a";
    request.serviceClass = catalogue::ServiceClass::Quick;
    request.tokens = 100;
    request.identity = id;
    return request;
}

/// Returns a state with one of the slots held, and a recorded speed of 100 tokens per second for
/// each slot.
State busyState(std::uint32_t slots)
{
    State state;
    resize(state, {slots, 0}, atSecond(0));
    for (int n = 0; n < 10; ++n)
        recordCompletion(state.rate, 100, second);
    REQUIRE(arrive(state, make(1'000'000), atSecond(0))[0].action == Action::Admit);
    return state;
}

} // namespace

TEST_CASE("a wait inside the upstreams counts towards the deadline, whether a slot is free or not")
{
    struct Case
    {
        const char *name;
        std::uint32_t slots;
        double startBy;
        double upstreamWait;
        Action action;
    };
    const Case cases[] = {
        {"a free slot and a short wait", 2, 5, 4, Action::Admit},
        {"a free slot and a wait that is too long", 2, 5, 6, Action::Refuse},
        {"no deadline", 2, 0, 600, Action::Admit},
        {"a wait before the start that is short enough", 1, 5, 0, Action::Wait},
        {"the sum of both waits is too long", 1, 5, 4.5, Action::Refuse},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        State state = busyState(it.slots);
        Request request = make(1);
        request.upstreamWait = fromSeconds(it.upstreamWait);
        if (it.startBy > 0)
            request.startBy = atSecond(it.startBy);
        const Decision decision = arrive(state, request, atSecond(0))[0];
        CHECK(decision.action == it.action);
        if (it.action != Action::Refuse)
            continue;
        CHECK(decision.error->outcome == Outcome::NotRun);
        CHECK(decision.error->code == ErrorCode::Overloaded);
        CHECK(*decision.error->retryAfter >= state.policy.minRetryAfter);
    }
}

TEST_CASE(
    "a request abandoned after its start is retried once the wait inside the upstreams is over")
{
    State state = busyState(1);
    Request request = make(1);
    request.startBy = atSecond(-1);
    request.upstreamWait = 20 * second;
    CHECK(giveUp(state, request, atSecond(0)) >= 20 * second);
    request.upstreamWait = Duration(0);
    CHECK(giveUp(state, request, atSecond(0)) >= state.policy.minRetryAfter);
    CHECK(valueAt(state.expectedRetryTokens, atSecond(0), state.policy.retryHalfLife) == 200);
}
