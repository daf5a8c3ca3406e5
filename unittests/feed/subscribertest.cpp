#include "kumquathaven/feed/subscriber.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

TEST_CASE("the patience with a member without newer proofs is a setting")
{
    SubscriberTimes times;
    times.memberPatience = std::chrono::milliseconds(700);
    catalogue::Instance self;
    self.name = "e1";
    Subscriber subscriber(times, self);
    const TimePoint start{std::chrono::hours(1)};
    subscriber.connected(start);
    CHECK_FALSE(subscriber.tick(start + std::chrono::milliseconds(650)).changeMember);
    CHECK(subscriber.tick(start + std::chrono::milliseconds(750)).changeMember);
}
