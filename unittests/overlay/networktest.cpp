// Histories of many members: what they know, how old it is, how many messages it takes, and how
// they recover from losses.

#include "network.h"

#include <doctest/doctest.h>

using namespace overlaytest;
using std::chrono::seconds;

namespace {

/// Changes levels and sends events at random instances, as requests would.
void sendLoad(Network &network, Random &random, Duration length, double eventsPerSecond)
{
    static Key nextEvent = 1'000'000;
    const TimePoint end = network.now() + length;
    while (network.now() < end) {
        network.run(fromSeconds(1 / eventsPerSecond));
        const std::size_t n = random.below(network.size());
        if (!network.isUp(n))
            continue;
        network.setLevel(n, random.below(50), static_cast<std::int64_t>(random.below(200'000)));
        network.sendEvent(n, nextEvent++);
    }
}

} // namespace

TEST_CASE("knowledge is fresh, and the messages of an instance hardly grow with their number")
{
    std::vector<double> perInstance;
    for (const std::size_t n : {16, 84, 291, 1000}) {
        CAPTURE(n);
        Network network(n, 5, 7);
        Random random(n);
        network.run(seconds(2));
        REQUIRE(network.roots() == 1);
        network.takeTraffic();
        sendLoad(network, random, seconds(1), 200);
        network.run(milliseconds(500));
        const Traffic traffic = network.takeTraffic();
        const double mean = static_cast<double>(traffic.messages) / static_cast<double>(n) / 1.5;
        MESSAGE(n, " instances: ", mean, " messages a second for each, at most ",
                static_cast<double>(traffic.maxSentByOne) / 1.5, "; age of events ",
                percentile(traffic.ages, 0.5), " ms in the median, ",
                percentile(traffic.ages, 0.95), " ms at the 95th percentile");
        perInstance.push_back(mean);
        CHECK(percentile(traffic.ages, 0.95) < 150);
        CHECK(static_cast<double>(traffic.maxSentByOne) / 1.5 < 40 * (fanOut + 5));
    }
    CHECK(perInstance.back() < 1.5 * perInstance.front());
}

TEST_CASE("each event arrives once everywhere, and levels are right soon after they change")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        Network network(60, 3, seed);
        Random random(seed);
        network.run(seconds(2));
        for (Key key = 1; key <= 40; ++key) {
            network.sendEvent(random.below(60), key);
            network.setLevel(random.below(60), key % 10,
                             static_cast<std::int64_t>(random.below(100'000)));
            network.member(random.below(60)).addIncrement(5, 10);
            network.run(milliseconds(10));
        }
        network.run(seconds(2));
        for (Key key = 1; key <= 40; ++key) {
            std::size_t arrivals = 0;
            for (std::size_t n = 0; n < 60; ++n) {
                CHECK(network.arrivals(n, key) <= 1);
                arrivals += network.arrivals(n, key);
            }
            CHECK(arrivals == 59);
        }
        for (Key key = 0; key < 10; ++key)
            CHECK(network.maxError(key) == 0);
        for (std::size_t n = 0; n < 60; ++n)
            CHECK(network.member(n).aggregate().links.size() > 0);
    }
}

TEST_CASE("after the loss of more than half of all instances the rest is connected soon")
{
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        CAPTURE(seed);
        constexpr std::size_t n = 150;
        Network network(n, 5, seed);
        Random random(seed);
        network.run(seconds(2));
        for (std::size_t i = 0; i < n; ++i) {
            network.setLevel(i, 1, 1'000);
            if (random.below(100) < 55)
                network.kill(i);
        }
        // Control has not noticed the losses yet.
        network.run(seconds(4));
        CHECK(network.roots() <= 2);
        network.listAll();
        network.run(seconds(2));
        CHECK(network.roots() == 1);
        CHECK(network.maxError(1) == 0);
        for (std::size_t i = 0; i < n; ++i) {
            if (!network.isUp(i))
                network.restart(i);
        }
        network.listAll();
        network.run(seconds(5));
        CHECK(network.roots() == 1);
        CHECK(network.maxError(1) == 0);
        CHECK(connectedInstances(network.member(0).aggregate()) == n);
    }
}

TEST_CASE("a frozen relay is replaced, and is in the tree again after it is thawed")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        CAPTURE(seed);
        Network network(60, 3, seed);
        network.run(seconds(2));
        std::size_t relay = 0;
        while (network.member(relay).childCount() < 3 || network.member(relay).parent().empty())
            ++relay;
        for (std::size_t n = 0; n < 60; ++n)
            network.setLevel(n, 1, 1'000);
        network.run(seconds(1));
        network.setFrozen(relay, true);
        network.run(seconds(3));
        CHECK(network.maxError(1) == 0);
        network.sendEvent(relay == 0 ? 1 : 0, 77);
        network.run(seconds(1));
        for (std::size_t n = 0; n < 60; ++n)
            CHECK(network.arrivals(n, 77) == (n != relay && n != (relay == 0 ? 1U : 0U) ? 1 : 0));
        network.setFrozen(relay, false);
        network.run(seconds(5));
        CHECK(network.maxError(1) == 0);
        CHECK(network.roots() == 1);
    }
}

TEST_CASE("a domain that is cut off goes on by itself and joins the others again")
{
    Network network(60, 3, 5);
    network.run(seconds(2));
    for (std::size_t n = 0; n < 60; ++n)
        network.setLevel(n, 1, 1'000);
    network.setCut("z1", true);
    network.run(seconds(5));
    CHECK(network.roots() == 2);
    for (std::size_t n = 0; n < 60; ++n) {
        const bool isCut = network.tree(n).failureDomain == "z1";
        CHECK(levelOfOthers(network.member(n).aggregate(), 1) == (isCut ? 19'000 : 39'000));
    }
    network.setCut("z1", false);
    network.run(seconds(5));
    CHECK(network.roots() == 1);
    CHECK(network.maxError(1) == 0);
}

TEST_CASE("a fact reaches instances that join later, and survives restarts of all in turn")
{
    constexpr std::size_t n = 30;
    constexpr Key key = 42;
    Network network(n, 3, 9);
    network.run(seconds(2));
    network.setCut("z1", true);
    network.run(seconds(4));
    network.member(0).setFact({key, 1, "fact", std::chrono::minutes(30)}, network.now());
    network.run(seconds(1));
    for (std::size_t it = 0; it < n; ++it)
        CHECK(network.member(it).aggregate().facts.count(key)
              == (network.tree(it).failureDomain == "z1" ? 0 : 1));
    network.setCut("z1", false);
    network.run(seconds(5));
    for (std::size_t it = 0; it < n; ++it) {
        network.kill(it);
        network.listAll();
        network.run(milliseconds(300));
        network.restart(it);
        network.listAll();
        network.run(seconds(2));
    }
    for (std::size_t it = 0; it < n; ++it)
        CHECK(network.member(it).aggregate().facts.count(key) == 1);
}

TEST_CASE("generated histories of kills, restarts, freezes and cuts end with one right tree")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        constexpr std::size_t n = 40;
        Network network(n, 3, seed);
        Random random(seed);
        network.run(seconds(1));
        for (int step = 0; step < 40; ++step) {
            const std::size_t it = random.below(n);
            switch (random.below(6)) {
            case 0:
                network.kill(it);
                break;
            case 1:
                if (!network.isUp(it))
                    network.setFrozen(it, false);
                network.restart(it);
                break;
            case 2:
                network.setFrozen(it, true);
                break;
            case 3:
                network.setFrozen(it, false);
                break;
            case 4:
                network.setCut("z" + std::to_string(random.below(3)), random.below(2) == 0);
                break;
            default:
                if (network.isUp(it))
                    network.setLevel(it, random.below(5),
                                     static_cast<std::int64_t>(random.below(9'000)));
                network.listAll();
            }
            network.run(milliseconds(100 + static_cast<int>(random.below(600))));
        }
        for (std::size_t it = 0; it < n; ++it) {
            network.setFrozen(it, false);
            if (!network.isUp(it))
                network.restart(it);
            network.setCut("z" + std::to_string(it % 3), false);
        }
        network.listAll();
        network.run(seconds(8));
        CHECK(network.roots() == 1);
        for (Key key = 0; key < 5; ++key)
            CHECK(network.maxError(key) == 0);
    }
}
