// Servers that fail a part of their requests, as many instances see it together.

#include "outcomes.h"
#include "enginefixture.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Requests at many instances to a plain service, one of whose servers fails a part of them.
struct PlainService
{
    PlainService(std::size_t instances, std::size_t serverCount)
        : all(instances)
    {
        fixture.route.services = {{"app", 1}};
        fixture.route.kind = deployment::RequestKind::Idempotent;
        std::vector<deployment::ListedServer> list;
        for (std::size_t n = 0; n < serverCount; ++n)
            list.push_back(server("s" + std::to_string(n), "app", 0));
        for (Servers &it : all)
            applyList(it, list, at(0));
    }

    /// Sends \p count requests at \p ms, and returns how many failed.
    int send(int count, int ms, bool isShared)
    {
        int failed = 0;
        for (int n = 0; n < count; ++n) {
            Servers &servers = all[random() % all.size()];
            fixture.head.requestId = "r" + std::to_string(number++);
            const auto picked = pick(servers, fixture.request(at(ms)), at(ms));
            REQUIRE(picked);
            ++requests[picked->serverId];
            const bool fails = picked->serverId == "s0" && random() % 100 < errorPercent;
            failed += fails ? 1 : 0;
            if (!fails)
                recordFirstToken(servers, *picked, at(ms + 30));
            recordAttemptEnd(servers, *picked,
                             fails ? AttemptEnd::ServerError : AttemptEnd::Answered, at(ms + 30));
        }
        if (isShared)
            share(ms + 30);
        return failed;
    }

    void share(int ms)
    {
        for (Servers &from : all) {
            for (const auto &[start, counts] : takeOutcomes(from)) {
                for (Servers &to : all) {
                    if (&to == &from)
                        continue;
                    applyOutcomesOfOthers(to, answersKey(start), counts.answers, at(ms));
                    applyOutcomesOfOthers(to, errorsKey(start), counts.errors, at(ms));
                }
            }
        }
    }

    EngineFixture fixture;
    std::vector<Servers> all;
    std::mt19937 random{7};
    unsigned errorPercent = 40;
    int number = 0;
    std::map<std::string, int> requests;
};

} // namespace

TEST_CASE("many instances notice a server that fails a part of its requests sooner together")
{
    std::map<bool, int> failed;
    for (const bool isShared : {true, false}) {
        PlainService t(100, 6);
        for (int step = 0; step < 80; ++step)
            failed[isShared] += t.send(40, step * 250, isShared);
    }
    MESSAGE("failed of 3200: ", failed[true], " together, ", failed[false], " each by itself");
    CHECK(failed[true] < failed[false] / 2);
}

TEST_CASE("a server that recovers gets its requests again")
{
    PlainService t(20, 6);
    for (int step = 0; step < 12; ++step)
        t.send(40, step * 250, true);
    t.errorPercent = 0;
    for (int step = 12; step < 160; ++step)
        t.send(40, step * 250, true);
    t.requests.clear();
    for (int step = 160; step < 180; ++step)
        t.send(40, step * 250, true);
    CHECK(t.requests["s0"] > 60);
}

TEST_CASE("few errors, or a small share of errors, leave no server out")
{
    RecentOutcomes outcomes;
    addOutcomes(outcomes, {0, 2}, at(0));
    CHECK_FALSE(isFailing(outcomes, at(0)));
    addOutcomes(outcomes, {60, 1}, at(1));
    CHECK_FALSE(isFailing(outcomes, at(1)));
    addOutcomes(outcomes, {0, 5}, at(2));
    CHECK(isFailing(outcomes, at(2)));
    CHECK_FALSE(isFailing(outcomes, at(3'100)));
    // What ends while it is left out does not count.
    addOutcomes(outcomes, {0, 50}, at(100));
    CHECK_FALSE(isFailing(outcomes, at(3'100)));
    // The next time is longer.
    addOutcomes(outcomes, {1, 9}, at(3'200));
    CHECK(isFailing(outcomes, at(9'000)));
}

TEST_CASE("when most servers of a service fail, most of them stay in use")
{
    PlainService t(1, 6);
    for (auto &[start, it] : t.all[0].known)
        addOutcomes(it.outcomes, {0, 10}, at(0));
    for (int n = 0; n < 60; ++n)
        t.send(1, 1, false);
    CHECK(t.requests.size() >= 4);
    CHECK(maxFailing(1) == 0);
    CHECK(maxFailing(2) == 0);
    CHECK(maxFailing(3) == 1);
    CHECK(maxFailing(6) == 2);
}
