#include "kumquathaven/feed/subscriber.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

TEST_CASE("the patience with a member without newer proofs is a setting")
{
    SubscriberTimes times;
    times.memberTimeout = std::chrono::milliseconds(700);
    catalogue::Instance self;
    self.name = "e1";
    Subscriber subscriber(times, self);
    const TimePoint start{std::chrono::hours(1)};
    subscriber.connected(start);
    CHECK_FALSE(subscriber.tick(start + std::chrono::milliseconds(650)).changeMember);
    CHECK(subscriber.tick(start + std::chrono::milliseconds(750)).changeMember);
}

TEST_CASE("answers that were faster on their way do not make an old proof a newer one")
{
    // A member that was cut off answers at once, with the age of the last proof that it got.
    SubscriberTimes times;
    times.memberTimeout = std::chrono::milliseconds(700);
    times.proofInterval = times.memberTimeout / 3;
    Subscriber subscriber(times, catalogue::Instance());
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    const TimePoint applyProof = begun - std::chrono::milliseconds(50);
    SubscriberEffects effects = subscriber.connected(begun, false);
    Duration transit = std::chrono::milliseconds(60);
    TimePoint leftAt{};
    for (TimePoint now = begun; now < begun + std::chrono::seconds(3) && leftAt == TimePoint{};
         now += std::chrono::milliseconds(50)) {
        for (const Message &it : effects.messages) {
            const auto *request = std::get_if<ProofRequest>(&it);
            if (request == nullptr)
                continue;
            // Each request is a little faster than the one before.
            transit -= std::chrono::milliseconds(4);
            subscriber.receive(Proof{request->number, 0, now + transit - applyProof},
                               now + transit);
        }
        effects = subscriber.tick(now + std::chrono::milliseconds(50));
        if (effects.changeMember)
            leftAt = now + std::chrono::milliseconds(50);
    }
    REQUIRE(leftAt != TimePoint{});
    CHECK(leftAt - begun <= times.memberTimeout + 2 * times.proofInterval);
}
