#include "kumquathaven/overlay/messages.h"

#include "kumquathaven/wire/cbor.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::overlay;
using std::chrono::milliseconds;

namespace {

template <typename Read>
bool isRefused(Read read)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(read());
            return false;
        },
        [](const Error &error) {
            return error.code == ErrorCode::InvalidRequest && error.peer == "peer";
        });
}

} // namespace

TEST_CASE("messages survive encoding and decoding")
{
    Update update;
    update.instances = 290;
    update.levels = {{UINT64_MAX, -5, milliseconds(20)}, {1, 1'000'000, Duration(0)}};
    update.increments = {{3, -17'000}};
    update.events = {{9, std::string("\0bytes", 6), milliseconds(44)}};
    update.facts = {{11, 3, "fact", std::chrono::minutes(10)}};
    update.note = "note";
    const Update read = orElse(
        [&] {
            return decodeUpdate(encodeUpdate(update), "peer");
        },
        [](const Error &) {
            return Update();
        });
    CHECK(read.instances == 290);
    REQUIRE(read.levels.size() == 2);
    CHECK(read.levels[0].key == UINT64_MAX);
    CHECK(read.levels[0].value == -5);
    CHECK(read.levels[0].sinceDecrease == milliseconds(20));
    REQUIRE(read.increments.size() == 1);
    CHECK(read.increments[0].amount == -17'000);
    REQUIRE(read.events.size() == 1);
    CHECK(read.events[0].bytes == update.events[0].bytes);
    CHECK(read.events[0].age == milliseconds(44));
    REQUIRE(read.facts.size() == 1);
    CHECK(read.facts[0].generation == 3);
    CHECK(read.facts[0].bytes == "fact");
    CHECK(read.facts[0].lifetime == std::chrono::minutes(10));
    CHECK(read.note == "note");
    const TreeNode node = orElse(
        [] {
            return decodeJoin(encodeJoin({"ignored", "z1", 300}), "peer");
        },
        [](const Error &) {
            return TreeNode();
        });
    CHECK(node.name == "peer");
    CHECK(node.failureDomain == "z1");
    CHECK(node.weight == 300);
}

TEST_CASE("malformed messages are refused")
{
    using nlohmann::json;
    const auto bytes = wire::binary("x");
    const std::vector<json> rows = {
        7,
        json::array(),
        {1, json::array(), json::array(), json::array()},
        {-1, json::array(), json::array(), json::array(), bytes},
        {1, {1, 2}, json::array(), json::array(), bytes},
        {1, {1, 2, -3}, json::array(), json::array(), bytes},
        {1, {-1, 2, 3}, json::array(), json::array(), bytes},
        {1, {1, UINT64_MAX, 3}, json::array(), json::array(), bytes},
        {1, {1, 2.5, 3}, json::array(), json::array(), bytes},
        {1, json::array(), {1}, json::array(), bytes},
        {1, json::array(), json::array(), {{1, "text", 3}}, bytes},
        {1, json::array(), json::array(), {{1, bytes}}, bytes},
        {1, json::array(), json::array(), json::array(), "text"},
    };
    for (const json &it : rows) {
        CAPTURE(it.dump());
        CHECK(isRefused([&] {
            return decodeUpdate(wire::toCbor(it), "peer");
        }));
    }
    CHECK(isRefused([] {
        return decodeUpdate("\x9f\x9f", "peer");
    }));
    for (const json &it : std::vector<json>{7, {1, 2}, {"z", -1}, {"z", 1e9}, {"z", 5'000'000'000}})
        CHECK(isRefused([&] {
            return decodeJoin(wire::toCbor(it), "peer");
        }));
}
