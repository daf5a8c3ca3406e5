// Tests the encoding of messages between control members.

#include "membermessages.h"

#include "common/codeof.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;
using kumquathaven::testing::codeOf;
using nlohmann::json;

TEST_CASE("every message between members survives a round trip, and corrupted bytes are checked")
{
    const MemberMessage messages[] = {
        MemberProofRequest{3, {{"e1", 4, Duration(1)}, {"e2", 5, Duration(2)}}},
        MemberProof{6, 7, Duration(8)},
        ForwardChange{"bytes"},
        MembershipQuery{1},
        MembershipReply{1, true},
        LogMessage{"bytes"},
        RelayedCommand{true, 1, 2, 3, "bytes"},
        ForwardReport{"bytes"},
        feed::WeightsAges{{{"m", 1, std::nullopt}, {"m", 2, Duration(3)}}},
    };
    Random random(5);
    for (const MemberMessage &message : messages) {
        const wire::Frame frame = toFrame(message);
        CAPTURE(frame.kind);
        const auto decoded = [](const wire::Frame &from) {
            return orElse(
                [&]() -> Result<std::string> {
                    BOOST_LEAF_AUTO(read, memberMessage(from, "control-2"));
                    return toFrame(read).body;
                },
                [](const Error &error) {
                    CHECK(error.peer == "control-2");
                    return describe(error);
                });
        };
        CHECK(decoded(frame) == frame.body);
        for (int n = 0; n < 2000; ++n) {
            wire::Frame corrupted = frame;
            corrupted.body[random.below(corrupted.body.size())] = static_cast<char>(random.next());
            decoded(corrupted);
        }
    }
}

TEST_CASE("numbers that do not fit make a message between members malformed")
{
    const wire::Frame frames[] = {
        {wire::Channel::Consensus, toFrame(MembershipQuery{}).kind,
         wire::toCbor(json::array({std::uint64_t{1} << 32}))},
        {wire::Channel::Consensus, toFrame(MembershipReply{}).kind,
         wire::toCbor(json::array({UINT64_MAX, 1U}))},
        {wire::Channel::Consensus, toFrame(MemberProof{}).kind,
         wire::toCbor(json::array({1U, 1U, UINT64_MAX}))},
        {wire::Channel::Consensus, "other", ""},
    };
    for (const wire::Frame &it : frames) {
        CAPTURE(it.kind);
        CHECK(codeOf([&] {
                  return memberMessage(it, "x");
              })
              == ErrorCode::InvalidRequest);
    }
}
