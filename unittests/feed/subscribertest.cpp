#include "kumquathaven/feed/subscriber.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

TEST_CASE("the timeout of a member without newer proofs is a setting")
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

TEST_CASE("answers that were faster in transit do not make an old proof newer")
{
    // A member that was cut off still answers at once, with the growing age of the last proof that
    // it received. Answers with a shorter transit time make the computed time of that proof
    // slightly newer each time, which must not keep the subscriber with the member.
    SubscriberTimes times;
    times.memberTimeout = std::chrono::milliseconds(700);
    times.proofInterval = times.memberTimeout / 3;
    Subscriber subscriber(times, catalogue::Instance());
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    const TimePoint provenAt = startedAt - std::chrono::milliseconds(50);
    SubscriberEffects effects = subscriber.connected(startedAt, false);
    Duration transit = std::chrono::milliseconds(60);
    TimePoint abandonedAt{};
    for (TimePoint now = startedAt;
         now < startedAt + std::chrono::seconds(3) && abandonedAt == TimePoint{};
         now += std::chrono::milliseconds(50)) {
        for (const Message &it : effects.messages) {
            const auto *request = std::get_if<ProofRequest>(&it);
            if (request == nullptr)
                continue;
            // The transit time of each request is 4 ms shorter than that of the one before.
            transit -= std::chrono::milliseconds(4);
            subscriber.receive(Proof{request->number, 0, now + transit - provenAt}, now + transit);
        }
        effects = subscriber.tick(now + std::chrono::milliseconds(50));
        if (effects.changeMember)
            abandonedAt = now + std::chrono::milliseconds(50);
    }
    REQUIRE(abandonedAt != TimePoint{});
    CHECK(abandonedAt - startedAt <= times.memberTimeout + 2 * times.proofInterval);
}
