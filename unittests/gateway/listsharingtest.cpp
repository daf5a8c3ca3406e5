#include "listsharing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

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

std::string nameOf(std::size_t n)
{
    return "entry-" + std::to_string(n);
}

catalogue::Instances instancesOf(std::size_t n)
{
    catalogue::Instances instances;
    for (std::size_t i = 0; i < n; ++i) {
        catalogue::Instance it;
        it.name = nameOf(i);
        it.state = catalogue::InstanceState::Serving;
        instances.entries[it.name] = it;
    }
    return instances;
}

/// Instances that exchange messages without loss, except for stopped ones.
struct Deployment
{
    explicit Deployment(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            ListSharing &it = all[nameOf(i)];
            it.instance = nameOf(i);
            updateReaders(it, instancesOf(n), start);
        }
    }

    /// Runs all actions of every instance that are due at \p now.
    void step(TimePoint now)
    {
        for (auto &[name, it] : all) {
            if (stopped.count(name) > 0)
                continue;
            const bool isDue = now - readAt[name] >= seconds(1);
            if (shouldRead(it, now) && isDue) {
                ++readCount;
                readAt[name] = now;
                for (const std::string &recipients : applyReadList(it, list, now))
                    applyAnswer(all[recipients], {it.digest, Duration(0), it.servers}, now);
            }
            const auto asked = nextReaderToAsk(it, now);
            if (asked && stopped.count(*asked) == 0)
                applyAnswer(it, answerListRequest(all[*asked], name, it.digest, now), now);
        }
    }

    void run(TimePoint &now, Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += milliseconds(25))
            step(now);
    }

    std::vector<std::string> readers() const
    {
        std::vector<std::string> names;
        for (const auto &it : all) {
            if (it.second.isReader)
                names.push_back(it.first);
        }
        return names;
    }

    bool allKnow(std::size_t servers) const
    {
        return std::all_of(all.begin(), all.end(), [&](const auto &it) {
            return stopped.count(it.first) > 0
                || (it.second.servers != nullptr && it.second.servers->size() == servers);
        });
    }

    std::map<std::string, ListSharing> all;
    std::map<std::string, TimePoint> readAt;
    std::set<std::string> stopped;
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

TEST_CASE("a few instances read the list for all")
{
    Deployment deployment(85);
    TimePoint now = start;
    deployment.run(now, seconds(10));
    CHECK(deployment.allKnow(2));
    CHECK(deployment.readers().size() == 3);
    // Each instance reads once when it starts.
    CHECK(deployment.readCount <= 85 + 3 * 11);
}

TEST_CASE("a change reaches every instance within one read interval")
{
    Deployment deployment(85);
    TimePoint now = start;
    deployment.run(now, seconds(5));
    deployment.list.push_back(server("c"));
    deployment.run(now, milliseconds(1050));
    CHECK(deployment.allKnow(3));
}

TEST_CASE("lists stay up to date when readers stop answering")
{
    Deployment deployment(57);
    TimePoint now = start;
    deployment.run(now, seconds(5));
    const std::vector<std::string> readers = deployment.readers();
    SUBCASE("one of them")
    {
        deployment.stopped.insert(readers[0]);
        deployment.run(now, seconds(1));
        deployment.readCount = 0;
        deployment.list.push_back(server("c"));
        deployment.run(now, seconds(2));
        CHECK(deployment.allKnow(3));
        CHECK(deployment.readCount <= 2 * 3);
    }
    SUBCASE("all of them")
    {
        deployment.stopped.insert(readers.begin(), readers.end());
        deployment.list.push_back(server("c"));
        deployment.run(now, milliseconds(3300));
        CHECK(deployment.allKnow(3));
    }
}

TEST_CASE("an instance that starts reads at once, whether it knows the others or not")
{
    ListSharing sharing;
    sharing.instance = nameOf(0);
    CHECK(shouldRead(sharing, start));
    CHECK_FALSE(nextReaderToAsk(sharing, start));
    updateReaders(sharing, instancesOf(57), start);
    sharing.isReader = false;
    CHECK(shouldRead(sharing, start));
    applyReadList(sharing, {server("a")}, start);
    CHECK_FALSE(shouldRead(sharing, start + milliseconds(25)));
}

TEST_CASE("an instance whose read failed backs off and leaves the calls to the readers")
{
    ListSharing sharing;
    sharing.instance = nameOf(0);
    updateReaders(sharing, instancesOf(57), start);
    sharing.isReader = false;
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
}

TEST_CASE("the order of servers and their warm-up time do not count as changes")
{
    ListSharing sharing;
    sharing.requesters["b"] = start;
    CHECK(applyReadList(sharing, {server("a"), server("b")}, start).size() == 1);
    ServerList again{server("b"), server("a")};
    again[0].remainingWarmup = Duration(0);
    CHECK(applyReadList(sharing, again, start).empty());
    again[0].isDraining = true;
    CHECK(applyReadList(sharing, again, start).size() == 1);
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
