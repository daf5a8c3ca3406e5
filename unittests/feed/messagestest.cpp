#include "kumquathaven/feed/messages.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::feed;

TEST_CASE("every message is the same after encoding and decoding, and bytes are checked")
{
    StateAt state;
    state.position = 4;
    state.catalogue.revision = 2;
    state.instances.epoch = 3;
    state.instances.entries["e"].name = "e";
    state.instances.departures = 5;
    state.instances.unprovenDepartures = {{4, 0}, {5, 77}};
    state.drained = {"e"};
    state.epochAge = Duration(77);
    catalogue::Instance instance;
    instance.name = "e";
    const Message messages[] = {
        Subscribe{5},
        Subscribe{5, true},
        ProofRequest{6, "e", 7},
        ProofRequest{6, "e", 7, {{"f", 8, Duration(9)}, {"g", 10, Duration(11)}}},
        Announce{instance, 9},
        Leave{"e", 7},
        state,
        ChangeAt{8, {"id", {}, catalogue::WithdrawKey{"k", true}}, 9, 10},
        Proof{11, 12, Duration(13)},
        Unsubscribe{},
        Redirect{{{"e1", "10.0.0.1:7200"}, {"e2", "10.0.0.2:7200"}}},
    };
    Random random(3);
    for (const Message &message : messages) {
        const wire::Frame frame = toFrame(message);
        CAPTURE(frame.kind);
        const auto decoded = [](const wire::Frame &from) {
            return orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(read, fromFrame(from, "control-1"));
                    return toFrame(read).body;
                },
                [](const Error &error) {
                    CHECK(error.code == ErrorCode::InvalidRequest);
                    return describe(error);
                });
        };
        CHECK(decoded(frame) == frame.body);
        for (std::size_t n = 0; n < frame.body.size(); ++n)
            CHECK(decoded({frame.channel, frame.kind, frame.body.substr(0, n)}) != frame.body);
        for (int n = 0; n < 3000; ++n) {
            wire::Frame spoilt = frame;
            spoilt.body[random.below(spoilt.body.size())] = static_cast<char>(random.next());
            decoded(spoilt);
        }
    }
    CHECK(orElse(
        []() -> Result<bool> {
            BOOST_LEAF_CHECK(fromFrame({wire::Channel::Feed, "unknown", ""}, "x"));
            return false;
        },
        [](const Error &error) {
            return error.peer == "x";
        }));
}
