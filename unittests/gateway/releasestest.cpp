#include "enginefixture.h"
#include "listsharing.h"
#include "overlay/network.h"

#include "kumquathaven/base/hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>

using namespace gatewaytest;
using catalogue::RolloutState;
using std::chrono::seconds;

namespace {

const std::string service = "app";

catalogue::ServiceRollout order(std::uint32_t share, std::uint32_t step = 1,
                                RolloutState state = RolloutState::Running)
{
    catalogue::ServiceRollout it;
    it.service = service;
    it.release = "v2";
    it.limitMs = 20'000;
    it.orderedAtMs = 1'000'000;
    it.number = 7;
    it.state = state;
    it.step = step;
    it.sharePerMille = share;
    return it;
}

/// Lists \p present servers with release v1 and \p next with v2.
std::vector<deployment::ListedServer> listOf(std::size_t present, std::size_t next)
{
    std::vector<deployment::ListedServer> list;
    for (std::size_t n = 0; n < present + next; ++n) {
        list.push_back(server((n < present ? "old" : "new") + std::to_string(n), service, 0));
        list.back().release = n < present ? "v1" : "v2";
        list.back().slots = 8;
    }
    return list;
}

deployment::Plan planOf()
{
    deployment::Plan plan;
    plan.version = 1;
    plan.services[service].name = service;
    deployment::Route route;
    route.name = "read";
    route.services = {{service, 1}};
    route.kind = deployment::RequestKind::Idempotent;
    route.objective = milliseconds(500);
    route.attempts = 2;
    plan.routes.push_back(route);
    return plan;
}

void apply(Releases &releases, const catalogue::ServiceRollout &it, TimePoint now)
{
    applyRollouts(releases, {{service, it}}, it.orderedAtMs, now);
}

Releases known(const catalogue::ServiceRollout &it, std::size_t present = 8, std::size_t next = 8)
{
    Releases releases;
    apply(releases, it, at(0));
    const auto servers = listOf(present, next);
    std::vector<const deployment::ListedServer *> list;
    list.reserve(servers.size());
    for (const deployment::ListedServer &each : servers)
        list.push_back(&each);
    applySupply(releases, list);
    return releases;
}

std::string textOf(const std::vector<std::optional<ReleaseSide>> &sides)
{
    std::string text;
    for (const auto &it : sides)
        text += it ? (*it == ReleaseSide::Next ? "N" : "P") : "*";
    return text;
}

/// A plan and a request to the plain service.
struct AppRequest
{
    AppRequest() { head.requestId = "r"; }

    PickRequest request(bool failedAtNext = false) const
    {
        return {&plan, &plan.routes[0], &head, nullptr, {}, at(8000), failedAtNext, {}};
    }

    deployment::Plan plan = planOf();
    deployment::CallerHead head;
};

} // namespace

TEST_CASE("the state of a rollout decides which servers may get a request")
{
    struct Row
    {
        const char *name;
        RolloutState state;
        std::uint32_t share;
        bool isBraked;
        bool failedAtNext;
        const char *sides;
    };
    const Row rows[] = {
        {"before the first step", RolloutState::Running, 0, false, false, "P"},
        {"all", RolloutState::Running, 1000, false, false, "NP"},
        {"all, failed there", RolloutState::Running, 1000, false, true, "P"},
        {"all, found to be bad", RolloutState::Running, 1000, true, false, "P"},
        {"some, found to be bad", RolloutState::Running, 500, true, false, "P"},
        {"complete", RolloutState::Complete, 1000, false, false, "N"},
        {"complete, failed there", RolloutState::Complete, 1000, false, true, "N"},
        {"rolled back", RolloutState::RolledBack, 0, false, false, "P"},
        {"rolled back from a share", RolloutState::RolledBack, 500, false, false, "P"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        Releases releases = known(order(row.share, 1, row.state));
        releases.rollouts.at(service).fault = row.isBraked ? "bad" : "";
        const std::string id = "r";
        CHECK(textOf(sidesFor(releases, service, {id, row.failedAtNext}, at(1))) == row.sides);
        CHECK(textOf(sidesFor(releases, "other", {id, row.failedAtNext}, at(1))) == "*");
    }
}

TEST_CASE("servers of the other release get nothing, whatever state the rest is in")
{
    const AppRequest app;
    for (const auto &[state, share, prefix] : {std::tuple(RolloutState::Running, 0U, "old"),
                                               {RolloutState::Complete, 1000U, "new"},
                                               {RolloutState::RolledBack, 0U, "old"}}) {
        Servers servers;
        catalogue::Catalogue catalogue;
        catalogue.rollouts[service] = order(share, 1, state);
        applyCatalogue(servers, std::make_shared<const catalogue::Catalogue>(catalogue));
        CHECK(applyReleases(servers, 1'000'000, at(0)).size() == 1);
        CHECK(applyReleases(servers, 1'000'000, at(1)).empty());
        applyList(servers, listOf(3, 3), at(1));
        PickRequest request = app.request();
        for (int n = 0; n < 3; ++n) {
            const auto chosen = pick(servers, request, at(2));
            REQUIRE(chosen);
            CHECK(chosen->start.find(prefix) == 0);
            request.tried.insert(chosen->start);
        }
        // The others accept work, but are not the ones that may get it.
        CHECK_FALSE(pick(servers, request, at(3)));
        CHECK_FALSE(canPick(servers, request, at(3)));
    }
}

TEST_CASE("servers that a platform starts with a later release are used after a rollout")
{
    for (const bool wasSeenRunning : {true, false}) {
        CAPTURE(wasSeenRunning);
        Releases releases = known(order(1000), 3, 3);
        if (!wasSeenRunning)
            releases = {};
        apply(releases, order(1000, 2, RolloutState::Complete), at(1));
        auto servers = listOf(3, 3);
        const auto isUsed = [&](std::size_t n) {
            std::vector<const deployment::ListedServer *> list;
            list.reserve(servers.size());
            for (const deployment::ListedServer &it : servers)
                list.push_back(&it);
            applySupply(releases, list);
            const std::string start = deployment::startIdOf(servers[n]);
            return isOnSide(releases, servers[n], start, ReleaseSide::Next);
        };
        CHECK_FALSE(isUsed(0));
        CHECK(isUsed(3));
        servers[1].release = "v3";
        CHECK(isUsed(1));
        CHECK_FALSE(isUsed(0));
        for (std::size_t n = 3; n < servers.size(); ++n)
            servers[n].release = "v4";
        CHECK(isUsed(3));
        CHECK(isUsed(1));
    }
}

TEST_CASE("a request that the new release failed goes to the present one")
{
    const AppRequest app;
    Servers servers;
    catalogue::Catalogue catalogue;
    catalogue.rollouts[service] = order(1000);
    applyCatalogue(servers, std::make_shared<const catalogue::Catalogue>(catalogue));
    applyReleases(servers, 1'000'000, at(0));
    applyList(servers, listOf(2, 2), at(1));
    const auto first = pick(servers, app.request(), at(2));
    REQUIRE(first);
    CHECK(first->send.side == ReleaseSide::Next);
    CHECK(countSendEnd(servers.releases, first->send, {AttemptEnd::ServerError}));
    const auto second = pick(servers, app.request(true), at(3));
    REQUIRE(second);
    CHECK(second->send.side == ReleaseSide::Present);
    CHECK_FALSE(countSendEnd(servers.releases, second->send, {AttemptEnd::ServerError}));
}

TEST_CASE("a release that was rolled back stays out of the next rollout as well")
{
    Releases releases = known(order(0, 2, RolloutState::RolledBack));
    catalogue::ServiceRollout next = order(0);
    next.number = 9;
    next.release = "v3";
    apply(releases, next, at(1));
    deployment::ListedServer it = server("s", service, 0);
    for (const auto &[name, isPresent] : {std::pair("v1", true), {"v2", false}, {"v3", false}}) {
        it.release = name;
        CHECK(isOnSide(releases, it, "s@0", ReleaseSide::Present) == isPresent);
    }
    // An older order that arrives late changes nothing; ordered again, the release is in use again.
    apply(releases, order(1000), at(2));
    CHECK(releases.rollouts.at(service).order.release == "v3");
    next.number = 11;
    next.release = "v2";
    apply(releases, next, at(3));
    CHECK(releases.rollouts.at(service).withdrawn.empty());
}

TEST_CASE("a small share exposes few servers, the same at all entries")
{
    const auto servers = listOf(40, 40);
    const auto exposed = [&](std::uint32_t share) {
        const Releases releases = known(order(share), 40, 40);
        std::set<std::string> starts;
        for (const deployment::ListedServer &it : servers) {
            if (isOnSide(releases, it, deployment::startIdOf(it), ReleaseSide::Next))
                starts.insert(it.id);
        }
        return starts;
    };
    const auto few = exposed(50);
    CHECK(few.size() == 2);
    CHECK(few == exposed(50));
    const auto more = exposed(250);
    CHECK(more.size() == 10);
    CHECK(std::includes(more.begin(), more.end(), few.begin(), few.end()));
    CHECK(exposed(1000).size() == 40);
}

TEST_CASE("servers whose errors may be those of one failing server are exposed last")
{
    for (const std::size_t servers : {1U, 2U, 4U, 5U, 8U, 11U}) {
        for (const std::size_t failing : {0U, 1U, 3U}) {
            CAPTURE(servers);
            CAPTURE(failing);
            Releases releases = known(order(50), servers, servers);
            KnownRollout &rollout = releases.rollouts.at(service);
            rollout.own.groups[failing] = {10, 9};
            rollout.hasNewCounts = true;
            applyBrakes(releases);
            std::vector<bool> isFailing;
            std::set<std::string> exposed;
            for (std::uint32_t n = 1; n <= servers; ++n) {
                rollout.exposedServers = n;
                for (const deployment::ListedServer &it : listOf(servers, servers)) {
                    const std::string start = deployment::startIdOf(it);
                    if (isOnSide(releases, it, start, ReleaseSide::Next)
                        && exposed.insert(start).second)
                        isFailing.push_back(rollout.places.at(start) % 4 == failing);
                }
                CHECK(exposed.size() == n);
            }
            CHECK(std::is_sorted(isFailing.begin(), isFailing.end()));
        }
    }
}

TEST_CASE("ends of sends count as failures of the release, as good answers or not at all")
{
    struct Row
    {
        const char *name;
        ReleaseSendEnd end;
        int failed, cut, good, reached;
    };
    const Duration goal = milliseconds(500);
    const auto ended = [&](AttemptEnd end, int ms, bool hasAnswer = false, bool isLate = false,
                           bool isMalformed = false) {
        return ReleaseSendEnd{end, hasAnswer, isMalformed, isLate, milliseconds(ms), goal};
    };
    const Row rows[] = {
        {"good", ended(AttemptEnd::Answered, 20, true), 0, 0, 1, 1},
        {"kept connection had closed", ended(AttemptEnd::Answered, 1), 0, 0, 0, 1},
        {"error", ended(AttemptEnd::ServerError, 5, true), 1, 0, 0, 1},
        {"cut", ended(AttemptEnd::Cut, 5), 1, 1, 0, 1},
        {"malformed", ended(AttemptEnd::Cut, 5, false, false, true), 1, 0, 0, 1},
        {"cut at the deadline", ended(AttemptEnd::Cut, 900, true, true), 1, 0, 0, 1},
        {"not run", ended(AttemptEnd::Refused, 5), 0, 0, 0, 0},
        {"another server", ended(AttemptEnd::Misdirected, 5), 0, 0, 0, 0},
        {"no connection", ended(AttemptEnd::NotConnected, 5), 0, 0, 0, 0},
        {"caller left at once", ended(AttemptEnd::Abandoned, 100), 0, 0, 0, 1},
        {"caller left late", ended(AttemptEnd::Abandoned, 400), 0, 0, 1, 1},
        {"caller left a stream", ended(AttemptEnd::Abandoned, 20, true), 0, 0, 1, 1},
        {"silent until the deadline", ended(AttemptEnd::Abandoned, 900, false, true), 1, 0, 0, 1},
        {"sent just before the deadline", ended(AttemptEnd::Abandoned, 50, false, true), 0, 0, 0,
         1},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        for (const ReleaseSide side : {ReleaseSide::Present, ReleaseSide::Next}) {
            Releases releases = known(order(500));
            const deployment::ListedServer it = listOf(1, 1)[side == ReleaseSide::Present ? 0 : 1];
            const ReleaseSend send = releaseSendOf(releases, it, deployment::startIdOf(it), "read");
            CHECK(send.side == side);
            countSend(releases, send);
            const KnownRollout &rollout = releases.rollouts.at(service);
            const bool isPresent = side == ReleaseSide::Present;
            CHECK(evidenceOf(releases, rollout).runningAtPresent == (isPresent ? 1 : 0));
            CHECK(countSendEnd(releases, send, row.end) == (!isPresent && row.failed == 1));
            const release::Evidence sum = evidenceOf(releases, rollout);
            CHECK(sum.runningAtPresent == 0);
            const release::RouteCounts &route = sum.routes.at("read");
            const release::Counts &counts = isPresent ? route.present : route.next;
            CHECK(counts.sent == 1);
            CHECK(counts.failed == row.failed);
            CHECK(counts.cut == row.cut);
            CHECK(counts.delays[release::delayBucketOf(row.end.delay)] == row.good);
            CHECK((isPresent ? rollout.reachedPresent : rollout.sentNext)
                  == (isPresent ? row.reached : 1));
        }
    }
}

TEST_CASE("counts go to other instances by key while the rollout is counted")
{
    const deployment::Plan plan = planOf();
    Releases one = known(order(500));
    Releases two = known(order(500));
    const auto servers = listOf(8, 8);
    for (const deployment::ListedServer &it : servers) {
        const ReleaseSend send = releaseSendOf(one, it, deployment::startIdOf(it), "read");
        countSend(one, send);
        countSendEnd(one, send, {AttemptEnd::ServerError});
    }
    countSend(one, releaseSendOf(one, servers[0], "s", "read"));
    CHECK(updateCounters(one, plan, at(1)));
    CHECK(updateCounters(two, plan, at(1)));
    CHECK_FALSE(updateCounters(two, plan, at(2)));
    for (const auto &[key, value] : ownCounters(one))
        CHECK(setCounterOfOthers(two, key, value));
    CHECK_FALSE(setCounterOfOthers(two, 1, 1));
    const release::Evidence sum = evidenceOf(two, two.rollouts.at(service));
    CHECK(sum.routes.at("read").next.sent == 8);
    CHECK(sum.routes.at("read").next.failed == 8);
    CHECK(sum.routes.at("read").present.sent == 9);
    CHECK(sum.runningAtPresent == 1);
    for (const release::GroupCounts &it : sum.groups)
        CHECK(it.failed == 2);
    // Some time after the end nothing is counted any more.
    apply(two, order(500, 3, RolloutState::RolledBack), at(3));
    CHECK_FALSE(updateCounters(two, plan, at(5000)));
    CHECK(updateCounters(two, plan, at(60'000)));
    CHECK(ownCounters(two).empty());
}

TEST_CASE("the list carries the releases of its servers, also among versions without them")
{
    ListSharing sharing;
    applyReadList(sharing, listOf(2, 1), at(0));
    const std::uint64_t digest = sharing.digest;
    ListMessage sent = answerListRequest(sharing, 0, at(1));
    const auto received = orElse(
        [&]() -> Result<ListMessage> {
            BOOST_LEAF_AUTO(message, decodeList(encodeList(sent), "peer"));
            return Result<ListMessage>(std::move(message));
        },
        [](const Error &) {
            return ListMessage();
        });
    REQUIRE(received.servers != nullptr);
    // A version without releases sends and reads the list alone.
    CHECK(received.servers->at(2).release.empty());
    const auto releases = orElse(
        [&] {
            return decodeListReleases(encodeListReleases(releasesOf(sent)), "peer");
        },
        [](const Error &) {
            return ListReleases();
        });
    ListMessage whole = received;
    addReleases(whole, releases);
    CHECK(whole.servers->at(0).release == "v1");
    CHECK(whole.servers->at(2).release == "v2");
    ListMessage other = received;
    other.digest = digest + 1;
    addReleases(other, releases);
    CHECK(other.servers->at(2).release.empty());
    std::vector<deployment::ListedServer> changed = listOf(2, 1);
    changed[2].release = "v3";
    applyReadList(sharing, changed, at(2));
    CHECK(sharing.digest != digest);
}
