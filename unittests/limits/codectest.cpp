// Tests of the CBOR encoding of the limits' messages, and of the rejection of malformed bytes.

#include "kumquathaven/limits/codec.h"
#include "common/codeof.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <cstring>

using namespace kumquathaven;
using namespace kumquathaven::limits;

TEST_CASE("Messages survive encoding and decoding, and truncated bytes are rejected")
{
    const Term term{7, 2, 1};
    const HeldState held{term, 9, 12.5, 3.25};
    const std::vector<Message> messages = {
        TokenRequest{"b", term, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, true},
        Answer{"b", AnswerKind::Starting, term, 1, 2, 3, 4, Duration(5), 6, true, Duration(7)},
        Replicate{"b", held},
        ReplicaAck{"b", 5, term, 6},
        Prepare{"b", term},
        Promise{
            "b", 5, term, held, Duration(8), 7, {{4, {{"a", 1}, {"c", 2}}}, {3, {}}}, Duration(9)},
    };
    const std::string bytes = encodeMessages(messages);
    const auto decoded = orElse(
        [&] {
            return decodeMessages(bytes, "peer");
        },
        [](const Error &) {
            return std::vector<Message>();
        });
    REQUIRE(decoded.size() == messages.size());
    CHECK(encodeMessages(decoded) == bytes);
    const auto &promise = std::get<Promise>(decoded.back());
    CHECK(promise.history.front().members.back().name == "c");
    CHECK(std::get<TokenRequest>(decoded.front()).want == 21);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes.substr(0, i);
        CHECK(orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeMessages(damaged, "peer"));
                return false;
            },
            [](const Error &error) {
                return error.code == ErrorCode::InvalidRequest;
            }));
    }
}

TEST_CASE("a duration that does not fit is refused")
{
    Answer answer;
    answer.retryAfter = Duration(7);
    nlohmann::json list = nlohmann::json::from_cbor(encodeMessages({answer}));
    REQUIRE(list[0].back() == 7);
    list[0].back() = UINT64_MAX;
    CHECK(kumquathaven::testing::codeOf([&] {
              return decodeMessages(wire::toCbor(list), "peer");
          })
          == ErrorCode::InvalidRequest);
}
