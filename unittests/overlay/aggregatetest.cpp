#include "kumquathaven/overlay/aggregate.h"

#include <doctest/doctest.h>

#include <string>

using namespace kumquathaven;
using namespace kumquathaven::overlay;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

constexpr LinkNumber parent = 1;
constexpr LinkNumber left = 2;
constexpr LinkNumber right = 3;

/// An instance with a parent and two children.
Aggregate relay()
{
    Aggregate it;
    addLink(it, parent, true, at(0));
    addLink(it, left, false, at(0));
    addLink(it, right, false, at(0));
    for (const LinkNumber link : {parent, left, right})
        takeUpdate(it, link, at(0));
    return it;
}

std::int64_t sentLevel(const Update &update, Key key)
{
    for (const LevelUpdate &it : update.levels) {
        if (it.key == key)
            return it.value;
    }
    return -1;
}

Update levelUpdate(Key key, std::int64_t value)
{
    Update update;
    update.instances = 1;
    update.levels = {{key, value, Duration(0)}};
    return update;
}

} // namespace

TEST_CASE("a link gets the sum of what is known from everywhere else")
{
    Aggregate it = relay();
    setOwnLevel(it, 7, 5'000, at(1));
    applyUpdate(it, left, levelUpdate(7, 20'000), at(2));
    applyUpdate(it, right, levelUpdate(7, 300'000), at(3));
    CHECK(sentLevel(takeUpdate(it, parent, at(100)), 7) == 325'000);
    CHECK(sentLevel(takeUpdate(it, left, at(100)), 7) == 305'000);
    CHECK(sentLevel(takeUpdate(it, right, at(100)), 7) == 25'000);
    CHECK(levelOfOthers(it, 7) == 320'000);
    CHECK(levelOfOthers(it, 8) == 0);
    applyUpdate(it, parent, levelUpdate(7, 1'000'000), at(200));
    CHECK(levelOfOthers(it, 7) == 1'320'000);
    CHECK(sentLevel(takeUpdate(it, left, at(300)), 7) == 1'305'000);
    // What the parent has sent is not sent back.
    CHECK(sentLevel(takeUpdate(it, parent, at(300)), 7) == -1);
}

TEST_CASE("a lost link takes its part of the levels along")
{
    Aggregate it = relay();
    applyUpdate(it, left, levelUpdate(7, 20'000), at(2));
    applyUpdate(it, right, levelUpdate(7, 30'000), at(2));
    takeUpdate(it, parent, at(50));
    removeLink(it, left);
    CHECK(levelOfOthers(it, 7) == 30'000);
    CHECK(sentLevel(takeUpdate(it, parent, at(100)), 7) == 30'000);
    removeLink(it, right);
    CHECK(levelOfOthers(it, 7) == 0);
    CHECK(sentLevel(takeUpdate(it, parent, at(150)), 7) == 0);
    removeUnusedLevels(it);
    CHECK(it.levels.empty());
}

TEST_CASE("a new link gets everything that is known")
{
    Aggregate it = relay();
    setOwnLevel(it, 7, 5'000, at(1));
    applyUpdate(it, left, levelUpdate(8, 100), at(2));
    addLink(it, 9, false, at(1'000));
    CHECK(isUpdateDue(it, 9, at(1'000)));
    const Update first = takeUpdate(it, 9, at(1'000));
    CHECK(sentLevel(first, 7) == 5'000);
    CHECK(sentLevel(first, 8) == 100);
}

TEST_CASE("increments and events reach every other link once")
{
    Aggregate it = relay();
    addOwnIncrement(it, 1, 400);
    Update update;
    update.increments = {{1, 70}, {2, 5}};
    update.events = {{11, "placed", milliseconds(30)}};
    applyUpdate(it, left, update, at(10));
    const Update up = takeUpdate(it, parent, at(40));
    REQUIRE(up.increments.size() == 2);
    CHECK(up.increments[0].amount == 470);
    CHECK(up.increments[1].amount == 5);
    REQUIRE(up.events.size() == 1);
    CHECK(up.events[0].bytes == "placed");
    CHECK(up.events[0].age == milliseconds(60));
    const Update back = takeUpdate(it, left, at(40));
    REQUIRE(back.increments.size() == 1);
    CHECK(back.increments[0].amount == 400);
    CHECK(back.events.empty());
    CHECK(takeUpdate(it, right, at(40)).events.size() == 1);
    CHECK(takeUpdate(it, parent, at(80)).events.empty());
    CHECK(takeUpdate(it, parent, at(80)).increments.empty());
}

TEST_CASE("an event replaces an unsent one with the same key, and the oldest is dropped when full")
{
    Aggregate it = relay();
    it.config.maxEventsQueued = 3;
    it.config.maxEventsSent = 2;
    for (const Key key : {Key{1}, Key{2}, Key{1}, Key{3}, Key{4}})
        addOwnEvent(it, {key, std::to_string(key), Duration(0)}, at(1));
    const Update first = takeUpdate(it, parent, at(30));
    REQUIRE(first.events.size() == 2);
    CHECK(first.events[0].key == 2);
    CHECK(first.events[1].key == 3);
    CHECK(isUpdateDue(it, parent, at(60)));
    CHECK(takeUpdate(it, parent, at(60)).events.front().key == 4);
    CHECK(it.links.at(parent).eventsDropped == 1);
    addOwnEvent(it, {2, "again", Duration(0)}, at(61));
    CHECK(takeUpdate(it, parent, at(90)).events.front().bytes == "again");
}

TEST_CASE("what was queued for a lost parent reaches the next one")
{
    Aggregate it = relay();
    addOwnEvent(it, {1, "before", Duration(0)}, at(1));
    addOwnIncrement(it, 5, 100);
    suspendLink(it, parent);
    CHECK_FALSE(isUpdateDue(it, parent, at(5'000)));
    it.isBetweenParents = true;
    addOwnEvent(it, {2, "between", Duration(0)}, at(10));
    addOwnIncrement(it, 5, 11);
    Update update;
    update.events = {{3, "of a child", Duration(0)}};
    update.increments = {{5, 1'000}};
    applyUpdate(it, left, update, at(20));
    it.isBetweenParents = false;
    removeLink(it, parent);
    addLink(it, 4, true, at(500));
    const Update first = takeUpdate(it, 4, at(500));
    REQUIRE(first.events.size() == 3);
    CHECK(first.events[0].bytes == "before");
    CHECK(first.events[2].bytes == "of a child");
    REQUIRE(first.increments.size() == 1);
    CHECK(first.increments[0].amount == 1'111);
}

TEST_CASE("small changes wait for their interval, and a link without content is kept alive")
{
    Aggregate it = relay();
    takeUpdate(it, parent, at(1'000));
    CHECK_FALSE(isUpdateDue(it, parent, at(1'100)));
    setOwnLevel(it, 7, 10, at(1'100));
    CHECK_FALSE(isUpdateDue(it, parent, at(1'150)));
    setOwnLevel(it, 8, 50'000, at(1'150));
    CHECK(isUpdateDue(it, parent, at(1'150)));
    const Update large = takeUpdate(it, parent, at(1'150));
    CHECK(sentLevel(large, 8) == 50'000);
    CHECK(sentLevel(large, 7) == -1);
    CHECK_FALSE(isUpdateDue(it, parent, at(1'160)));
    CHECK(isUpdateDue(it, parent, at(1'400)));
    CHECK(sentLevel(takeUpdate(it, parent, at(1'400)), 7) == 10);
    CHECK_FALSE(isUpdateDue(it, parent, at(1'600)));
    CHECK(isUpdateDue(it, parent, at(1'650)));
}

TEST_CASE("a decrease is reported with its age")
{
    Aggregate it = relay();
    setOwnLevel(it, 7, 50'000, at(100));
    takeUpdate(it, parent, at(100));
    setOwnLevel(it, 7, 20'000, at(150));
    const Update update = takeUpdate(it, parent, at(180));
    REQUIRE(update.levels.size() == 1);
    CHECK(update.levels[0].sinceDecrease == milliseconds(30));
    Aggregate other = relay();
    applyUpdate(other, left, update, at(200));
    CHECK(lastDecreaseOfOthers(other, 7) == at(170));
}

TEST_CASE("the number of connected instances is summed over the links")
{
    Aggregate it = relay();
    CHECK(connectedInstances(it) == 1);
    Update update;
    update.instances = 5;
    applyUpdate(it, left, update, at(1));
    update.instances = 30;
    applyUpdate(it, parent, update, at(1));
    CHECK(connectedInstances(it) == 36);
    CHECK(takeUpdate(it, parent, at(30)).instances == 6);
    CHECK(takeUpdate(it, right, at(30)).instances == 36);
    suspendLink(it, parent);
    CHECK(connectedInstances(it) == 36);
    removeLink(it, parent);
    CHECK(connectedInstances(it) == 6);
}

TEST_CASE("a fact is held until it lapses, the newest generation wins, and extensions are few")
{
    Aggregate it = relay();
    Update update;
    update.facts = {{7, 1, "held", std::chrono::seconds(60)}};
    applyUpdate(it, left, update, at(1'000));
    CHECK(takeUpdate(it, left, at(1'100)).facts.empty());
    REQUIRE(takeUpdate(it, right, at(1'100)).facts.size() == 1);
    const Update toParent = takeUpdate(it, parent, at(11'000));
    REQUIRE(toParent.facts.size() == 1);
    CHECK(toParent.facts[0].lifetime == std::chrono::seconds(50));
    CHECK_FALSE(setFact(it, {7, 1, "held", std::chrono::seconds(52)}, at(11'000)));
    CHECK(setFact(it, {7, 1, "held", std::chrono::seconds(60)}, at(11'000)));
    CHECK(setFact(it, {7, 2, "lifted", std::chrono::seconds(30)}, at(11'000)));
    CHECK_FALSE(setFact(it, {7, 1, "held", std::chrono::minutes(50)}, at(11'000)));
    CHECK(it.facts.at(7).bytes == "lifted");
    addLink(it, 9, false, at(12'000));
    CHECK(takeUpdate(it, 9, at(12'000)).facts.size() == 1);
    removeLapsedFacts(it, at(42'000));
    CHECK(it.facts.empty());
    for (Key key = 0; key < 1'000; ++key)
        setFact(it, {key, 1, "", std::chrono::minutes(1)}, at(43'000));
    CHECK(it.facts.size() == it.config.maxFacts);
}
