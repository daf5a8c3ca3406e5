// Tests of encoding and decoding messages about answers, including malformed input.

#include "kumquathaven/answers/messages.h"
#include "common/codeof.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::answers;
using kumquathaven::testing::codeOf;

namespace {

const WorkKey key{"cyngor", "order-1"};
const AnswerHead head{200, "text/plain", {{"x-request-id", "req-1"}, {"x", ""}}};

std::string reencodeOrError(const std::string &bytes)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(message, decodeMessage(bytes, "entry-2"));
            return encodeMessage(message);
        },
        [](const Error &error) {
            CHECK(error.peer == "entry-2");
            return describe(error);
        });
}

} // namespace

TEST_CASE("every message is the same after encoding and decoding, and damaged bytes are checked")
{
    const FleetMessage messages[] = {
        Claim{1, key, "entry-3"},
        ClaimAnswer{UINT64_MAX, "entry-3"},
        Fetch{3, key, "print"},
        FetchEnd{4},
        AnswerPart{5, 0, PartKind::Running, head, {std::string("\0\xff", 2), ""}},
        AnswerPart{5, 1, PartKind::Failed, std::nullopt, {}},
    };
    Random random(5);
    for (const FleetMessage &it : messages) {
        const std::string bytes = encodeMessage(it);
        CAPTURE(it.index());
        CHECK(reencodeOrError(bytes) == bytes);
        for (int n = 0; n < 2000; ++n) {
            std::string damaged = bytes;
            damaged[random.below(damaged.size())] = static_cast<char>(random.next());
            reencodeOrError(damaged);
        }
    }
}

TEST_CASE("malformed messages are refused")
{
    using nlohmann::json;
    const json cases[] = {
        nullptr,
        json::array(),
        json::array({"other", 1U}),
        json::array({"end"}),
        json::array({"end", -1}),
        json::array({"end", 1U, 2U}),
        json::array({"holder", 1U, std::string(513, 'x')}),
        json::array({"part", 1U, 2U, 6U, nullptr, json::array()}),
        json::array({"part", 1U, 2U, 3U, json::array({1000U, "", json::array()}), json::array()}),
        json::array({"part", 1U, 2U, 3U, json::array({200U, ""}), json::array()}),
        json::array({"part", 1U, 2U, 3U, nullptr, json::array({"text"})}),
    };
    for (const json &it : cases) {
        CAPTURE(it.dump());
        CHECK(codeOf([&] {
                  return decodeMessage(wire::toCbor(it), "entry-2");
              })
              == ErrorCode::InvalidRequest);
    }
}
