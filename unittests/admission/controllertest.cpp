#include "kumquathaven/admission/controller.h"
#include "requests.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::admission;
using catalogue::ServiceClass;

namespace {

/// Returns a state with one slot, held by request 1,000,000, and a recorded speed of 100 tokens per
/// second.
State busyState(Policy policy = {})
{
    State state(policy);
    resize(state, {1, 0}, atSecond(0));
    for (int n = 0; n < 10; ++n)
        recordCompletion(state.rate, 100, second);
    REQUIRE(arrive(state, make(1'000'000, "holder"), atSecond(0))[0].action == Action::Admit);
    return state;
}

/// Finishes the running request \p count times at most and returns the ids of the requests that
/// start, in order.
std::vector<RequestId> drain(State &state, RequestId running, std::size_t count)
{
    std::vector<RequestId> order;
    while (order.size() < count) {
        const Decisions decisions = finish(state, running, 100, atSecond(1));
        if (decisions.empty())
            break;
        REQUIRE(decisions.size() == 1);
        running = decisions[0].id;
        order.push_back(running);
    }
    return order;
}

} // namespace

TEST_CASE("requests are served by class, then first attempts, then fairness between customers")
{
    State state = busyState();
    const std::vector<Request> arrivals{
        make(1, "a", 100, ServiceClass::Patient),
        make(2, "a", 100, ServiceClass::Standard, AttemptKind::Retry),
        make(3, "a", 100, ServiceClass::Standard),
        make(4, "a", 100, ServiceClass::Quick, AttemptKind::Retry),
        make(5, "a"),
        make(6, "a"),
        make(7, "b"),
        make(8, "b", 100, ServiceClass::Quick, AttemptKind::Retry),
    };
    for (const Request &it : arrivals)
        CHECK(arrive(state, it, atSecond(0))[0].action == Action::Wait);
    CHECK(drain(state, 1'000'000, 8) == std::vector<RequestId>{5, 7, 6, 8, 4, 3, 2, 1});
}

TEST_CASE("customers share by weight in tokens that were actually used")
{
    // Customer a declares half of the tokens that its requests use; b has three times the weight of
    // a.
    State state = busyState();
    std::map<std::string, double> used;
    RequestId id = 1;
    const auto send = [&](const std::string &customer) {
        Request request = make(id++, customer, customer == "a" ? 50 : 100);
        request.weight = customer == "a" ? 1 : 3;
        arrive(state, request, atSecond(0));
    };
    for (int n = 0; n < 400; ++n) {
        send("a");
        send("b");
    }
    RequestId running = 1'000'000;
    for (int n = 0; n < 200; ++n) {
        const Decisions decisions = finish(state, running, 100, atSecond(1));
        running = decisions.at(0).id;
        used[state.running.at(running).customer] += 100;
    }
    CHECK(used["b"] / used["a"] == doctest::Approx(3).epsilon(0.05));
}

TEST_CASE("patient and standard requests get their minimum share during a flood of quick requests")
{
    State state = busyState();
    RequestId id = 1;
    std::map<std::size_t, double> served;
    RequestId running = 1'000'000;
    for (int n = 0; n < 3'000; ++n) {
        arrive(state, make(id++, "a"), atSecond(0));
        if (n < 600) {
            arrive(state, make(id++, "a", 100, ServiceClass::Standard), atSecond(0));
            arrive(state, make(id++, "a", 100, ServiceClass::Patient), atSecond(0));
        }
        running = finish(state, running, 100, atSecond(1)).at(0).id;
        if (n < 2'000)
            served[state.running.at(running).serviceClass] += 100;
    }
    for (const std::size_t n : {1, 2})
        CHECK(served[n] >= 0.95 * state.policy.minShare[n] * 200'000);
    CHECK(served[0] >= 0.75 * 200'000);
}

TEST_CASE("a flood of an earlier class is served after other customers beyond the bound")
{
    // No minimum shares, so that only fairness between customers can help the later classes.
    Policy policy;
    policy.minShare = {0, 0, 0};
    State state = busyState(policy);
    RequestId id = 1;
    for (int n = 0; n < 1'000; ++n)
        arrive(state, make(id++, "b", 100, ServiceClass::Patient), atSecond(0));
    std::map<std::string, double> served;
    RequestId running = 1'000'000;
    for (int n = 0; n < 1'600; ++n) {
        arrive(state, make(id++, "a"), atSecond(0));
        running = finish(state, running, 100, atSecond(1)).at(0).id;
        served[state.running.at(running).customer] += 100;
    }
    const double bound = policy.maxAheadTokens[0];
    CHECK(served["a"] - served["b"] >= bound);
    CHECK(served["a"] - served["b"] <= bound + 200);
}

TEST_CASE("waiting requests keep their turn when their customer sends requests of an earlier class")
{
    // No minimum shares, so that only fairness between customers can help the later classes.
    Policy policy;
    policy.minShare = {0, 0, 0};
    State state = busyState(policy);
    RequestId id = 1;
    for (int n = 0; n < 1'500; ++n)
        arrive(state, make(id++, "b", 100, ServiceClass::Patient), atSecond(0));
    std::map<std::string, double> served;
    RequestId running = 1'000'000;
    for (int n = 0; n < 3'000; ++n) {
        arrive(state, make(id++, "a"), atSecond(0));
        if (n % 8 == 0)
            arrive(state, make(id++, "b"), atSecond(0));
        running = finish(state, running, 100, atSecond(1)).at(0).id;
        served[state.running.at(running).customer] += 100;
    }
    CHECK(served["a"] - served["b"] <= policy.maxAheadTokens[0] + 200);
}

TEST_CASE("a retry gets its minimum share during a flood of first attempts")
{
    State state = busyState();
    arrive(state, make(1, "b", 100, ServiceClass::Quick, AttemptKind::Retry), atSecond(0));
    RequestId running = 1'000'000;
    int served = 0;
    for (RequestId id = 2; running != 1 && served < 100; ++id, ++served) {
        arrive(state, make(id, "a"), atSecond(0));
        running = finish(state, running, 100, atSecond(1)).at(0).id;
    }
    CHECK(served > 25);
    CHECK(served <= 52);
}

TEST_CASE("a request is refused at arrival when its expected wait exceeds its deadline")
{
    State state = busyState();
    for (RequestId id = 1; id <= 20; ++id)
        arrive(state, make(id, "a"), atSecond(0));
    struct Case
    {
        const char *name;
        const char *customer;
        ServiceClass serviceClass;
        double startBy;
        Action expected;
    };
    // The waiting requests of customer a are twenty seconds of work: 100 tokens each at 100 tokens
    // per second.
    const std::vector<Case> cases{
        {"behind its own work", "a", ServiceClass::Quick, 5, Action::Refuse},
        {"with enough time", "a", ServiceClass::Quick, 40, Action::Wait},
        {"of another customer, whose turn is next", "b", ServiceClass::Quick, 5, Action::Wait},
        {"of a later class", "b", ServiceClass::Standard, 5, Action::Refuse},
        {"with a deadline that has passed", "b", ServiceClass::Quick, -1, Action::Refuse},
    };
    RequestId id = 100;
    for (const Case &it : cases) {
        CAPTURE(it.name);
        Request request = make(id++, it.customer, 100, it.serviceClass);
        request.startBy = atSecond(it.startBy);
        const Decision decision = arrive(state, request, atSecond(0)).at(0);
        CHECK(decision.id == request.id);
        CHECK(decision.action == it.expected);
        CHECK(decision.error.has_value() == (it.expected == Action::Refuse));
        if (!decision.error)
            continue;
        CHECK(decision.error->outcome == Outcome::NotRun);
        CHECK(decision.error->retryAfter >= second);
        CHECK(state.waiting.locations.count(request.id) == 0);
    }
}

TEST_CASE("the expected wait of a customer over its share includes what others will send")
{
    // Four other customers send a fifth of the capacity each, so that one second of work of
    // customer a takes five.
    State state = busyState();
    for (const char *it : {"b", "c", "d", "e"}) {
        arrive(state, make(10 + static_cast<RequestId>(*it), it, 20), atSecond(0));
        add(state.waiting.customers[it].accepted[0], 20.0 * 10 / 0.693, atSecond(0),
            state.policy.halfLife);
    }
    for (RequestId id = 1; id <= 2; ++id)
        arrive(state, make(id, "a"), atSecond(0));
    const double wait = expectedWaitSeconds(state, make(100, "a"), atSecond(0));
    CHECK(wait > 6);
    CHECK(wait < 13);
}

TEST_CASE("a waiting request is refused as soon as its deadline passes")
{
    State state = busyState();
    Request request = make(1, "a");
    request.startBy = atSecond(5);
    CHECK(arrive(state, request, atSecond(0))[0].action == Action::Wait);
    CHECK(nextDeadline(state) == atSecond(5));
    CHECK(advance(state, atSecond(5)).empty());
    const Decisions decisions = advance(state, atSecond(5) + Duration(1));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].error->code == ErrorCode::DeadlineExceeded);
    CHECK(decisions[0].error->outcome == Outcome::NotRun);
    CHECK_FALSE(nextDeadline(state).has_value());
}

TEST_CASE("a caller that disconnects frees its slot")
{
    State state = busyState();
    arrive(state, make(1, "a"), atSecond(0));
    arrive(state, make(2, "a"), atSecond(0));
    CHECK(cancel(state, 1, 0, atSecond(1)).empty());
    const Decisions decisions = cancel(state, 1'000'000, 10, atSecond(1));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].id == 2);
    CHECK(decisions[0].action == Action::Admit);
    CHECK(state.counters.cancelled == 2);
    cancel(state, 77, 0, atSecond(1));
    CHECK(state.counters.cancelled == 2);
}

TEST_CASE("a customer's retries are bounded by its first attempts while others wait")
{
    Policy policy;
    policy.retryBurstTokens = 1'000;
    policy.retryRatio = 0.5;
    State state = busyState(policy);
    arrive(state, make(1, "b"), atSecond(0));
    RequestId id = 10;
    int waiting = 0;
    const auto sendRetries = [&](int count) {
        for (int n = 0; n < count; ++n) {
            const Request request = make(id++, "a", 100, ServiceClass::Quick, AttemptKind::Retry);
            waiting += arrive(state, request, atSecond(0))[0].action == Action::Wait ? 1 : 0;
        }
    };
    sendRetries(100);
    CHECK(waiting == 10);
    // Once the budget is spent, ten first attempts earn the budget for five retries.
    drain(state, 1'000'000, 11);
    RequestId running = state.running.begin()->first;
    for (RequestId first = 1'000; first < 1'010; ++first)
        arrive(state, make(first, "a"), atSecond(1));
    arrive(state, make(2, "b"), atSecond(1));
    running = drain(state, running, 10).back();
    waiting = 0;
    arrive(state, make(3, "b"), atSecond(1));
    sendRetries(100);
    CHECK(waiting == 5);
}

TEST_CASE("retries start without a budget while enough slots are free, and leave slots for first "
          "attempts")
{
    Policy policy;
    policy.retryBurstTokens = 0;
    State state(policy);
    resize(state, {100, 0}, atSecond(0));
    int admitted = 0;
    for (RequestId id = 1; id <= 100; ++id) {
        const Request request = make(id, "a", 100, ServiceClass::Quick, AttemptKind::Retry);
        admitted += arrive(state, request, atSecond(0))[0].action == Action::Admit ? 1 : 0;
    }
    CHECK(admitted == 60);
    CHECK(arrive(state, make(200, "a"), atSecond(0))[0].action == Action::Admit);
}

TEST_CASE("slots are reserved for quick requests, and a customer's own limit applies")
{
    State state;
    resize(state, {10, 0}, atSecond(0));
    RequestId id = 1;
    const auto started = [&](const std::string &customer, ServiceClass serviceClass, int count,
                             std::uint32_t maxRunning = 0) {
        int admitted = 0;
        for (int n = 0; n < count; ++n) {
            Request request = make(id++, customer, 100, serviceClass);
            request.maxRunning = maxRunning;
            admitted += arrive(state, request, atSecond(0))[0].action == Action::Admit ? 1 : 0;
        }
        return admitted;
    };
    CHECK(started("a", ServiceClass::Patient, 20) == 6);
    CHECK(started("a", ServiceClass::Standard, 20) == 3);
    CHECK(started("b", ServiceClass::Quick, 20) == 1);
    State capped;
    std::swap(state, capped);
    resize(state, {10, 0}, atSecond(0));
    CHECK(started("a", ServiceClass::Quick, 20, 3) == 3);
    CHECK(started("b", ServiceClass::Quick, 20) == 7);
}

TEST_CASE("a flood displaces only its own customer's newest requests of the lowest rank")
{
    Policy policy;
    policy.maxWaiting = 8;
    State state = busyState(policy);
    arrive(state, make(1, "b"), atSecond(0));
    arrive(state, make(2, "a", 100, ServiceClass::Patient), atSecond(0));
    arrive(state, make(3, "a", 100, ServiceClass::Quick, AttemptKind::Retry), atSecond(0));
    for (RequestId id = 4; id <= 8; ++id)
        CHECK(arrive(state, make(id, "a"), atSecond(0)).size() == 1);
    const std::vector<RequestId> displaced{2, 3, 11};
    for (std::size_t n = 0; n < displaced.size(); ++n) {
        const Decisions decisions = arrive(state, make(9 + n, "a"), atSecond(0));
        const Decision &last = decisions.back();
        CHECK(decisions.front().id == 9 + n);
        CHECK(last.id == displaced[n]);
        CHECK(last.action == Action::Refuse);
        CHECK(last.error->code == ErrorCode::Overloaded);
        CHECK(last.error->outcome == Outcome::NotRun);
    }
    CHECK(arrive(state, make(20, "b"), atSecond(0))[0].action == Action::Wait);
    CHECK(state.waiting.customers["b"].total.requests == 2);
}
