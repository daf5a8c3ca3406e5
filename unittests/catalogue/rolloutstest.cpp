// Tests orders and steps of rollouts in the catalogue: a table of orders against each state, the
// bounds of their format, and generated histories.

#include "samples.h"

#include "kumquathaven/base/random.h"
#include "kumquathaven/catalogue/json.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;
using nlohmann::json;

namespace {

constexpr std::uint64_t limitMs = 600'000;
constexpr std::uint64_t orderedAtMs = 1'796'000'000'000;

StartRollout order(const std::string &release, std::uint64_t limit = limitMs)
{
    return {"chat", release, limit, orderedAtMs};
}

State declaredState()
{
    State state;
    Declare body;
    body.declaration = {1, std::make_shared<const std::string>("text")};
    REQUIRE(apply(state, {{}, {}, body}).accepted);
    return state;
}

RecordRolloutStep stepOf(const State &state, RolloutState to, std::uint32_t share = 10)
{
    const ServiceRollout &it = state.catalogue.rollouts.at("chat");
    return {"chat", it.number, it.step, to, share, 0, "why"};
}

State copyOf(const State &state)
{
    return orElse(
        [&] {
            return decodeState(encodeState(state), "test");
        },
        [](const Error &error) {
            FAIL(describe(error));
            return State();
        });
}

std::string errorOf(const json &change)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(changeFromJson(change));
            return std::string();
        },
        [](const Error &error) {
            CHECK(error.code == ErrorCode::InvalidRequest);
            return error.message;
        });
}

} // namespace

TEST_CASE("an order is accepted, repeated or refused depending on the last rollout")
{
    struct Row
    {
        const char *name;
        RolloutState last;
        StartRollout second;
        bool isAccepted;
        bool startsAnother;
        const char *message;
    };
    const Row rows[] = {
        {"running, again", RolloutState::Running, order("v2"), true, false, ""},
        {"running, other release", RolloutState::Running, order("v3"), false, false,
         R"(the rollout of release "v2" of service "chat" is in progress)"},
        {"running, other limit", RolloutState::Running, order("v2", 1), false, false,
         R"(the rollout of release "v2" of service "chat" is in progress)"},
        {"complete, again", RolloutState::Complete, order("v2"), true, false, ""},
        {"complete, other limit", RolloutState::Complete, order("v2", 1), false, false,
         R"(release "v2" of service "chat" runs already)"},
        {"complete, other release", RolloutState::Complete, order("v3"), true, true, ""},
        {"rolled back, again", RolloutState::RolledBack, order("v2"), true, false, ""},
        {"rolled back, other limit", RolloutState::RolledBack, order("v2", 1), true, true, ""},
        {"rolled back, other release", RolloutState::RolledBack, order("v3"), true, true, ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        State state = declaredState();
        const Answer first = apply(state, {{}, {}, order("v2")});
        REQUIRE(first.accepted);
        CHECK(state.catalogue.rollouts.at("chat").number == first.revision);
        if (row.last != RolloutState::Running)
            REQUIRE(apply(state, {{}, {}, stepOf(state, row.last)}).accepted);
        // The order meets a member that was restarted from a snapshot.
        state = copyOf(state);
        const std::string before = encodeState(state);
        StartRollout second = row.second;
        second.orderedAtMs += 5000;
        const Answer answer = apply(state, {{}, {}, second});
        CHECK(answer.accepted == row.isAccepted);
        if (!row.isAccepted) {
            CHECK(answer.code == ErrorCode::Conflict);
            CHECK(answer.message == row.message);
        }
        CHECK((encodeState(state) != before) == row.startsAnother);
        const ServiceRollout &now = state.catalogue.rollouts.at("chat");
        if (row.startsAnother) {
            CHECK(now.number == answer.revision);
            CHECK(now.number > first.revision);
            CHECK(now.state == RolloutState::Running);
            CHECK(now.step == 0);
            CHECK(now.sharePerMille == 0);
            CHECK(now.release == second.release);
        } else {
            CHECK(now.orderedAtMs == orderedAtMs);
            CHECK(now.number == first.revision);
        }
    }
}

TEST_CASE("without a declaration an order must name a route")
{
    State state;
    const Answer unknown = apply(state, {{}, {}, order("v2")});
    CHECK(unknown.code == ErrorCode::NotFound);
    CHECK(unknown.message == R"(field "service": route "chat" does not exist)");
    PutEntries put;
    put.entries.routes["chat"] = sampleRoute("chat", "m");
    REQUIRE(apply(state, {{}, {}, put}).accepted);
    CHECK(apply(state, {{}, {}, order("v2")}).accepted);
}

TEST_CASE("a step applies only to the rollout and step that it was decided on")
{
    State state = declaredState();
    CHECK(apply(state, {{}, {}, RecordRolloutStep{"chat", 1, 0, RolloutState::Running, 1, 0, ""}})
              .code
          == ErrorCode::NotFound);
    REQUIRE(apply(state, {{}, {}, order("v2")}).accepted);
    const RecordRolloutStep first = stepOf(state, RolloutState::Running, 10);
    RecordRolloutStep otherNumber = first;
    --otherNumber.number;
    CHECK(apply(state, {{}, {}, otherNumber}).code == ErrorCode::Conflict);
    REQUIRE(apply(state, {{}, {}, first}).accepted);
    CHECK(state.catalogue.rollouts.at("chat").sharePerMille == 10);
    CHECK(state.catalogue.rollouts.at("chat").reason == "why");
    CHECK(apply(state, {{}, {}, first}).code == ErrorCode::Conflict);
    REQUIRE(apply(state, {{}, {}, stepOf(state, RolloutState::RolledBack, 500)}).accepted);
    CHECK(state.catalogue.rollouts.at("chat").sharePerMille == 0);
    const RecordRolloutStep late = stepOf(state, RolloutState::Complete);
    CHECK(apply(state, {{}, {}, late}).code == ErrorCode::Conflict);
    CHECK(state.catalogue.rollouts.at("chat").state == RolloutState::RolledBack);
}

TEST_CASE("the oldest rollout that has ended makes room for another")
{
    constexpr std::uint64_t bound = 4096;
    State state = declaredState();
    REQUIRE(apply(state, {{}, {}, order("v2")}).accepted);
    for (std::uint64_t n = 1; n < bound; ++n)
        REQUIRE(apply(state, {{}, {}, StartRollout{std::to_string(n), "v2", 1, 0}}).accepted);
    const Change another{{}, {}, StartRollout{"another", "v2", 1, 0}};
    CHECK(apply(state, another).code == ErrorCode::Overloaded);
    CHECK(state.catalogue.rollouts.size() == bound);
    REQUIRE(apply(state, {{}, {}, stepOf(state, RolloutState::Complete)}).accepted);
    CHECK(apply(state, another).accepted);
    CHECK(state.catalogue.rollouts.size() == bound);
    CHECK(state.catalogue.rollouts.count("chat") == 0);
}

TEST_CASE("orders and steps out of bounds are refused with field and allowed values")
{
    const json start = toJson(Change{{}, {}, order("v2")});
    const json step = toJson(Change{{}, {}, RecordRolloutStep{"chat", 3, 0, {}, 10, 0, "why"}});
    CHECK(errorOf(start).empty());
    CHECK(errorOf(step).empty());
    const std::string limits = "must be a whole number from 1 to 604800000";
    const std::string bytes = "must have 1 to 256 bytes";
    struct Row
    {
        const json &base;
        const char *field;
        json value;
        std::string message;
    };
    const Row rows[] = {
        {start, "service", "", bytes},
        {start, "release", "", bytes},
        {start, "release", std::string(257, 'v'), bytes},
        {start, "release", 2, "must be a string of at most 4096 bytes"},
        {start, "limitMs", 0, limits},
        {start, "limitMs", -1, limits},
        {start, "limitMs", "10m", limits},
        {start, "limitMs", 0.5, limits},
        {start, "limitMs", maxRolloutLimitMs + 1, limits},
        {start, "orderedAtMs", -1, "must be a whole number from 0 to 9000000000000"},
        {step, "service", nullptr, "must be a string of at most 4096 bytes"},
        {step, "number", -1, "must be a whole number from 0 to 18446744073709551615"},
        {step, "fromStep", 1ULL << 32, "must be a whole number from 0 to 4294967295"},
        {step, "state", "paused", "must be one of running, complete, rolledBack"},
        {step, "sharePerMille", 1001, "must be a whole number from 0 to 1000"},
        {step, "reason", std::string(4097, 'r'), "must be a string of at most 4096 bytes"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.field);
        json changed = row.base;
        changed[row.field] = row.value;
        CHECK(errorOf(changed)
              == "change: field \"" + std::string(row.field) + "\" " + row.message);
    }
    for (const char *field : {"service", "release", "limitMs"}) {
        json changed = start;
        changed.erase(field);
        CHECK(errorOf(changed) == "change: field \"" + std::string(field) + "\" is missing");
    }
}

TEST_CASE("a catalogue keeps rollouts, and fields of later versions are skipped")
{
    State state = declaredState();
    CHECK(toJson(state.catalogue).count("rollouts") == 0);
    REQUIRE(apply(state, {{}, {}, order("v2")}).accepted);
    REQUIRE(apply(state, {{}, {}, stepOf(state, RolloutState::Running, 10)}).accepted);
    json written = toJson(state.catalogue);
    const auto readAgain = [](const json &from) {
        return orElse(
            [&]() -> Result<json> {
                BOOST_LEAF_AUTO(read, catalogueFromJson(from));
                return Result<json>(toJson(read));
            },
            [](const Error &error) {
                return json(error.message);
            });
    };
    CHECK(readAgain(written) == written);
    json later = written;
    later["rollouts"][0]["paused"] = true;
    CHECK(readAgain(later) == written);
    json twice = written;
    twice["rollouts"].push_back(twice["rollouts"][0]);
    CHECK(readAgain(twice) == "service \"chat\" has two rollouts");
    json unknown = written;
    unknown["rollouts"][0]["state"] = "paused";
    CHECK(readAgain(unknown)
          == "rollout: field \"state\" must be one of running, complete, rolledBack");
    json object = written;
    object["rollouts"] = json::object();
    CHECK(readAgain(object) == "rollouts must be a list of at most 4096");
}

TEST_CASE("generated histories: a rollout is not lost, ends once and its step only grows")
{
    constexpr std::uint64_t histories = 200;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        State state = declaredState();
        State restarted = state;
        // Steps that leaders, former ones among them, decided on what they knew.
        std::vector<Change> decided;
        for (int n = 0; n < 150; ++n) {
            const auto known = state.catalogue.rollouts.find("chat");
            const bool isKnown = known != state.catalogue.rollouts.end();
            Change change{
                {}, {}, order("v" + std::to_string(random.below(3)), 1 + random.below(2))};
            if (isKnown && random.below(5) != 0) {
                const auto to =
                    static_cast<RolloutState>(random.below(8) == 0 ? random.below(3) : 0);
                decided.push_back({{}, {}, stepOf(state, to, random.below(1001))});
                change = decided[decided.size() - 1
                                 - random.below(std::min<std::size_t>(decided.size(), 3))];
            }
            const std::optional<ServiceRollout> before =
                isKnown ? std::optional(known->second) : std::nullopt;
            const Answer answer = apply(state, change);
            CHECK(apply(restarted, change).accepted == answer.accepted);
            if (random.below(12) == 0)
                restarted = copyOf(restarted);
            if (!before)
                continue;
            REQUIRE(state.catalogue.rollouts.count("chat") == 1);
            const ServiceRollout &after = state.catalogue.rollouts.at("chat");
            if (after.number == before->number) {
                CHECK(after.release == before->release);
                CHECK(after.step >= before->step);
                if (before->state != RolloutState::Running)
                    CHECK(after.state == before->state);
            } else {
                CHECK(after.number > before->number);
                CHECK(before->state != RolloutState::Running);
            }
        }
        CHECK(encodeState(restarted) == encodeState(state));
    }
}
