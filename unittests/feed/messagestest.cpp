#include "kumquathaven/feed/messages.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/wire/cbor.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace kumquathaven;
using namespace kumquathaven::feed;

namespace {

RolloutReport rolloutReport()
{
    RolloutReport report{"chat", 14, {}};
    release::RouteCounts &route = report.evidence.routes["/v1/chat"];
    route.present = {100, 1, 1, {}};
    route.present.delays[release::delayBucketCount - 1] = 99;
    route.next = {3, 2, 0, {{1}}};
    report.evidence.routes["/v1/embed"].next.sent = 4;
    report.evidence.groups[release::serverGroupCount - 1] = {8, 9};
    report.evidence.runningAtPresent = 5;
    report.evidence.instances = 6;
    report.evidence.instancesServing = 7;
    return report;
}

/// Returns the report in a body, or nothing if it is malformed.
std::optional<RolloutReport> readReport(const nlohmann::json &body)
{
    return orElse(
        [&]() -> Result<std::optional<RolloutReport>> {
            BOOST_LEAF_AUTO(
                read, fromFrame({wire::Channel::Feed, "rollout", wire::toCbor(body)}, "entry-1"));
            return std::optional(std::get<RolloutReport>(read));
        },
        [](const Error &error) {
            CHECK(error.code == ErrorCode::InvalidRequest);
            CHECK(error.peer == "entry-1");
            return std::optional<RolloutReport>();
        });
}

} // namespace

TEST_CASE("a report about a rollout is read within its bounds")
{
    using nlohmann::json;
    const json good = orElse(
        [] {
            return wire::fromCbor(toFrame(rolloutReport()).body, "test", {});
        },
        [](const Error &) {
            return json();
        });
    REQUIRE(readReport(good));
    const auto with = [&](const json::json_pointer &at, const json &value) {
        json body = good;
        body[at] = value;
        return body;
    };
    const auto at = [](const std::string &path) {
        return json::json_pointer(path);
    };
    json tooManyRoutes = json::array();
    for (std::size_t n = 0; n <= maxReportedRoutes; ++n)
        tooManyRoutes.push_back(json::array({std::to_string(n), good[2][0][1], good[2][0][1]}));
    json twice = json::array({good[2][0], good[2][0]});
    json tooFewDelays = good[2][0][1][2];
    tooFewDelays.erase(tooFewDelays.begin());
    json tooManyDelays = good[2][0][1][2];
    tooManyDelays.push_back(0);
    json tooManyGroups = good[6];
    tooManyGroups.push_back(good[6][0]);
    const std::pair<const char *, json> malformed[] = {
        {"no list", json::object()},
        {"empty", json::array()},
        {"service is a number", with(at("/0"), 1)},
        {"service too long", with(at("/0"), std::string(257, 'a'))},
        {"number is negative", with(at("/1"), -1)},
        {"routes are an object", with(at("/2"), json::object())},
        {"too many routes", with(at("/2"), tooManyRoutes)},
        {"a route twice", with(at("/2"), twice)},
        {"route name too long", with(at("/2/0/0"), std::string(257, 'a'))},
        {"counts missing", with(at("/2/0"), json::array({"/v1/chat"}))},
        {"too few delays", with(at("/2/0/1/2"), tooFewDelays)},
        {"too many delays", with(at("/2/0/2/2"), tooManyDelays)},
        {"a negative count", with(at("/2/0/1/0"), -5)},
        {"a count with a fraction", with(at("/2/0/1/1"), 0.5)},
        {"delays are a number", with(at("/2/0/1/2"), 0)},
        {"cut is missing", with(at("/2/0/1"), json::array({1, 1, good[2][0][1][2]}))},
        {"too many groups", with(at("/6"), tooManyGroups)},
        {"a group without errors", with(at("/6/0"), json::array({1}))},
        {"groups are missing", json::array({"chat", 14, json::array(), 5, 6, 7})},
        {"running is text", with(at("/3"), "5")},
        {"instances missing", json::array({"chat", 14, json::array(), 5})},
    };
    for (const auto &it : malformed) {
        CAPTURE(it.first);
        CHECK_FALSE(readReport(it.second));
    }
    // Huge counts are clamped, so that sums over all instances stay in range.
    const auto huge = readReport(with(at("/2/0/1/0"), std::numeric_limits<std::uint64_t>::max()));
    REQUIRE(huge);
    CHECK(huge->evidence.routes.at("/v1/chat").present.sent == std::int64_t{1} << 50);
    json later = good;
    later.push_back("a field of a later version");
    CHECK(readReport(later));
}

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
        Subscribe{5, false, true},
        WeightsAges{{{"m", 1, std::nullopt}, {"m", 2, Duration(3)}}},
        DeclarationPatchAt{8, 9, 10, 11, 12, {{{0, 5, "a\xC3"}, {7, 2, ""}}}},
        ProofRequest{6, "e", 7},
        ProofRequest{6, "e", 7, {{"f", 8, Duration(9)}, {"g", 10, Duration(11)}}},
        Announce{instance, 9},
        Leave{"e", 7},
        state,
        ChangeAt{8, {"id", {}, catalogue::WithdrawKey{"k", true}}, 9, 10},
        Proof{11, 12, Duration(13)},
        Unsubscribe{},
        Redirect{{{"e1", "10.0.0.1:7200"}, {"e2", "10.0.0.2:7200"}}},
        rolloutReport(),
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
            wire::Frame corrupted = frame;
            corrupted.body[random.below(corrupted.body.size())] = static_cast<char>(random.next());
            decoded(corrupted);
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
