#include "listsharing.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

deployment::ListedServer server(const std::string &id)
{
    deployment::ListedServer it;
    it.id = id;
    it.startedAt = 5;
    it.service = "engines";
    it.address = {"10.0.0.1", 8080};
    it.failureDomain = "z1";
    it.slots = 12;
    it.remainingWarmup = milliseconds(300);
    it.weights["m"] = 3;
    return it;
}

/// Instances in a tree: instance n has the parent (n - 1) / fanOut, and instance 0 is the root.
/// Messages arrive without loss, except those of stopped instances.
struct Deployment
{
    static constexpr std::size_t fanOut = 8;

    explicit Deployment(std::size_t n)
        : all(n)
        , readAt(n)
    {
        for (ListSharing &it : all) {
            it.knowsInstances = true;
            it.readAt = start;
        }
        all[0].isReader = true;
    }

    /// Runs all actions of every instance that are due at \p now.
    void step(TimePoint now)
    {
        for (std::size_t n = 0; n < all.size(); ++n) {
            ListSharing &it = all[n];
            if (stopped.count(n) > 0)
                continue;
            if (shouldRead(it, now) && now - readAt[n] >= seconds(1)) {
                ++readCount;
                readAt[n] = now;
                applyReadList(it, list, now);
            }
            const std::size_t parent = (n - 1) / fanOut;
            if (n == 0 || stopped.count(parent) > 0)
                continue;
            const ListSharing &source = all[parent];
            applyFreshness(it, {source.digest, now - source.readAt}, now);
            if (shouldRequest(it, now))
                applyAnswer(it, answerListRequest(source, it.digest, now), now);
        }
    }

    void run(TimePoint &now, Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += milliseconds(25))
            step(now);
    }

    bool allKnow(std::size_t servers) const
    {
        for (std::size_t n = 0; n < all.size(); ++n) {
            const bool knows = all[n].servers != nullptr && all[n].servers->size() == servers;
            if (!knows && stopped.count(n) == 0)
                return false;
        }
        return true;
    }

    std::vector<ListSharing> all;
    std::vector<TimePoint> readAt;
    std::set<std::size_t> stopped;
    ServerList list{server("a"), server("b")};
    std::uint32_t readCount = 0;
};

ListMessage decoded(const std::string &bytes)
{
    return orElse(
        [&] {
            return decodeList(bytes, "peer");
        },
        [](const Error &) {
            return ListMessage();
        });
}

} // namespace

TEST_CASE("one instance reads the list for all, however many there are")
{
    for (const std::size_t n : {16U, 85U, 291U, 1000U}) {
        CAPTURE(n);
        Deployment deployment(n);
        TimePoint now = start;
        deployment.run(now, seconds(10));
        CHECK(deployment.allKnow(2));
        CHECK(deployment.readCount <= 11);
        for (const ListSharing &it : deployment.all)
            CHECK(now - it.readAt < milliseconds(1200));
    }
}

TEST_CASE("a change reaches every instance within one read interval")
{
    Deployment deployment(291);
    TimePoint now = start;
    deployment.run(now, seconds(5));
    deployment.list.push_back(server("c"));
    deployment.run(now, milliseconds(1150));
    CHECK(deployment.allKnow(3));
}

TEST_CASE("lists stay up to date when a parent stops responding and is not replaced")
{
    Deployment deployment(57);
    TimePoint now = start;
    deployment.run(now, seconds(5));
    SUBCASE("the parent of some")
    {
        deployment.stopped.insert(2);
    }
    SUBCASE("the root")
    {
        deployment.stopped.insert(0);
    }
    deployment.list.push_back(server("c"));
    deployment.run(now, milliseconds(3300));
    CHECK(deployment.allKnow(3));
}

TEST_CASE("an instance that starts waits for the list of its parent, and then reads it itself")
{
    ListSharing sharing;
    sharing.readAt = start;
    sharing.knowsInstances = true;
    CHECK_FALSE(shouldRead(sharing, start + seconds(1)));
    CHECK(shouldRead(sharing, start + milliseconds(2300)));
    sharing.isReader = true;
    CHECK(shouldRead(sharing, start + milliseconds(1)));
    // Before it knows of any other instance, it does not know whether it is the root.
    sharing.knowsInstances = false;
    CHECK_FALSE(shouldRead(sharing, start + milliseconds(1)));
}

TEST_CASE("an instance whose read failed backs off and leaves the calls to the reader")
{
    ListSharing sharing;
    sharing.readAt = start - seconds(10);
    sharing.knowsInstances = true;
    sharing.lastFailureAt = start;
    CHECK_FALSE(shouldRead(sharing, start + milliseconds(500)));
    CHECK(shouldRead(sharing, start + seconds(2)));
    sharing.isReader = true;
    CHECK(shouldRead(sharing, start + milliseconds(500)));
}

TEST_CASE("a list older than the current one is ignored")
{
    ListSharing sharing;
    const auto younger = std::make_shared<const ServerList>(ServerList{server("a"), server("b")});
    const auto older = std::make_shared<const ServerList>(ServerList{server("a")});
    CHECK(applyAnswer(sharing, {1, milliseconds(100), younger}, start));
    CHECK_FALSE(applyAnswer(sharing, {2, milliseconds(900), older}, start));
    CHECK(sharing.servers == younger);
    applyFreshness(sharing, {2, milliseconds(900)}, start);
    CHECK_FALSE(shouldRequest(sharing, start));
    // The same list is as fresh as the parent says.
    applyFreshness(sharing, {1, milliseconds(50)}, start + seconds(1));
    CHECK(sharing.readAt == start + milliseconds(950));
}

TEST_CASE("a request that is not answered is repeated")
{
    ListSharing sharing;
    sharing.readAt = start;
    applyFreshness(sharing, {5, milliseconds(10)}, start);
    CHECK(shouldRequest(sharing, start));
    CHECK_FALSE(shouldRequest(sharing, start + milliseconds(100)));
    CHECK(shouldRequest(sharing, start + milliseconds(200)));
    // A parent without a recent list has nothing to offer.
    ListSharing other;
    applyFreshness(other, {0, Duration(0)}, start);
    applyFreshness(other, {5, seconds(3)}, start);
    CHECK_FALSE(shouldRequest(other, start));
}

TEST_CASE("the order of servers and their warm-up time do not count as changes")
{
    ListSharing sharing;
    applyReadList(sharing, {server("a"), server("b")}, start);
    const std::uint64_t digest = sharing.digest;
    ServerList again{server("b"), server("a")};
    again[0].remainingWarmup = Duration(0);
    applyReadList(sharing, again, start);
    CHECK(sharing.digest == digest);
    again[0].isDraining = true;
    applyReadList(sharing, again, start);
    CHECK(sharing.digest != digest);
}

TEST_CASE("an odd value of one server does not make the list unreadable for other instances")
{
    deployment::ListedServer odd = server("odd");
    odd.remainingWarmup = std::chrono::hours(300);
    odd.slots = UINT32_MAX;
    odd.startedAt = UINT64_MAX;
    odd.weights["m"] = UINT64_MAX;
    const auto servers = std::make_shared<const ServerList>(ServerList{server("a"), odd});
    const ListMessage message = decoded(encodeList({7, Duration(0), servers}));
    REQUIRE(message.servers);
    CHECK(message.servers->size() == 2);
}

TEST_CASE("digest and age survive encoding, and a malformed note is ignored")
{
    const auto freshness = decodeFreshness(encodeFreshness({UINT64_MAX, milliseconds(40)}));
    REQUIRE(freshness);
    CHECK(freshness->digest == UINT64_MAX);
    CHECK(freshness->age == milliseconds(40));
    for (const char *it : {"", "x", "\x82\x01", "\x81\x01"})
        CHECK_FALSE(decodeFreshness(it));
}

TEST_CASE("an encoded list decodes to the same list, and malformed messages are rejected")
{
    const auto servers = std::make_shared<const ServerList>(ServerList{server("a")});
    const ListMessage complete = decoded(encodeList({7, milliseconds(40), servers}));
    CHECK(complete.digest == 7);
    CHECK(complete.age == milliseconds(40));
    REQUIRE(complete.servers);
    const deployment::ListedServer &it = complete.servers->front();
    CHECK(it.id == "a");
    CHECK(it.startedAt == 5);
    CHECK(settings::toString(it.address) == "10.0.0.1:8080");
    CHECK(it.slots == 12);
    CHECK(it.remainingWarmup == milliseconds(300));
    CHECK(it.weights.at("m") == 3);
    CHECK(decoded(encodeList({7, milliseconds(40), nullptr})).servers == nullptr);
    ServerList nameless{server("")};
    const std::string bad =
        encodeList({7, Duration(0), std::make_shared<const ServerList>(nameless)});
    for (const std::string &bytes : {std::string("x"), std::string("\x81\x01"), bad})
        CHECK(decoded(bytes).digest == 0);
}
