// Histories of requests at an entry that was told to stop. The property: what the entry passes on
// after the stop was requested has ended when it sends its last answers.

#include "exchangefixture.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace gatewaytest;
using std::chrono::milliseconds;

namespace {

struct Sent
{
    Peer *caller = nullptr;
    std::string id;
    /// The earlier of what the caller and the route allow.
    TimePoint deadline{};
};

bool isPassedOn(const ExchangeFixture &t, const std::string &id)
{
    for (const auto *servers : {&t.apps, &t.engines}) {
        for (const auto &server : *servers) {
            for (const std::string &it : server->requests) {
                if (fieldOf(it, "Id") == id)
                    return true;
            }
        }
    }
    return false;
}

/// Lets engines begin answers that never end, and services answer nothing.
void holdAll(ExchangeFixture &t)
{
    for (const auto &it : t.apps)
        it->answer = [](Peer &, const std::string &) {};
    for (const auto &it : t.engines)
        it->answer = [](Peer &peer, const std::string &request) {
            peer.send(streamHead(fieldOf(request, "Id")) + streamEvent(1));
        };
}

} // namespace

// Guards against requests that an entry takes after a stop was requested and then cuts.
TEST_CASE("what a stopping entry passes on ends before its last answers, and the rest is not run")
{
    constexpr std::array<const char *, 4> routes{"read", "write", "ask", "review"};
    // Requests whose deadline is that close to the last answers are not judged.
    constexpr Duration margin = milliseconds(40);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        ExchangeFixture t(6);
        holdAll(t);
        t.settings.platform->stopGrace = milliseconds(1000 + 300 * random.below(3));
        runtime::StopRequest stop;
        t.gateway.stopRequest = &stop;
        const TimePoint requestedAt = monotonicNow();
        stop.request(requestedAt);
        // A second request to stop gives no more time.
        stop.request(requestedAt + std::chrono::seconds(5));
        const TimePoint last =
            leavingFrom(t.settings.platform->stopGrace, requestedAt).answersUntil;
        std::vector<Sent> sent;
        while (monotonicNow() + 2 * margin < last) {
            const std::string route = routes[random.below(routes.size())];
            const std::string id = route + std::to_string(sent.size());
            const std::uint64_t ms = 50 + random.below(1200);
            const bool hasOwnTime = random.below(4) > 0;
            Peer &caller = t.connect();
            caller.send(ExchangeFixture::request(
                route, id, hasOwnTime ? "Timeout: " + std::to_string(ms) + "\r\n" : ""));
            sent.push_back({&caller, id,
                            monotonicNow()
                                + (hasOwnTime ? Duration(milliseconds(ms))
                                              : Duration(std::chrono::seconds(4)))});
            t.runFor(milliseconds(15));
        }
        t.runUntil(
            [&] {
                return monotonicNow() >= last;
            },
            std::chrono::seconds(2));
        // Timers that are due by then have run before the process acts on that moment.
        t.runOnce();
        CHECK(t.gateway.running == 0);
        for (const Sent &it : sent) {
            CAPTURE(it.id);
            const bool isRun = isPassedOn(t, it.id);
            if (it.deadline + margin < last)
                CHECK(isRun);
            else if (it.deadline > last + margin)
                CHECK_FALSE(isRun);
            if (!isRun)
                CHECK(it.caller->received.substr(0, 12) == "HTTP/1.1 503");
        }
    }
}
