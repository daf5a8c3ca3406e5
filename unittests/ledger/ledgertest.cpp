// Tests of the ledger's state machine and of the decisions that an entry makes.

#include "common/codeof.h"
#include "kumquathaven/ledger/attempt.h"
#include "kumquathaven/ledger/codec.h"
#include "kumquathaven/ledger/machine.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::ledger;
using kumquathaven::testing::codeOf;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const RequestKey key{"cyngor", "order-1"};
const Runner first{"entry1", 11};
const Runner second{"entry2", 22};
const StoredAnswer answer{201, "application/json", "{\"order\":1}", false};

Begin beginOf(const Runner &runner, std::uint64_t attempt, const std::string &print = "print",
              const RequestKey &which = key)
{
    return Begin{which, print, runner, attempt, 0};
}

AnswerKind kindOf(State &state, const Command &command)
{
    return ledger::apply(state, command).kind;
}

void passTime(State &state, Duration time)
{
    static std::uint64_t number = 0;
    for (Duration left = time; left > Duration{}; left -= state.bounds.maxAdvance)
        ledger::apply(state, Advance{1, ++number, left});
}

} // namespace

TEST_CASE("Each state of a record determines the answer to a repeated Begin")
{
    struct Case
    {
        const char *name;
        std::vector<Command> before;
        Begin repeat;
        AnswerKind expected;
    };
    const Begin own = beginOf(first, 1);
    const Begin other = beginOf(second, 1);
    const Command complete = Complete{key, first, 1, answer};
    const Command lose = Lose{key, first, 1};
    const std::vector<Case> cases = {
        {"no record", {}, own, AnswerKind::Run},
        {"repeated Begin of the same attempt after a lost answer", {own}, own, AnswerKind::Run},
        {"another attempt of the runner", {own}, beginOf(first, 2), AnswerKind::InProgress},
        {"another runner", {own}, other, AnswerKind::InProgress},
        {"another body", {own}, beginOf(second, 1, "else"), AnswerKind::Conflict},
        {"another body after completion",
         {own, complete},
         beginOf(second, 1, "else"),
         AnswerKind::Conflict},
        {"another customer",
         {own},
         beginOf(second, 1, "print", {"utility", "order-1"}),
         AnswerKind::Run},
        {"completed", {own, complete}, other, AnswerKind::Stored},
        {"completed twice", {own, complete, complete}, other, AnswerKind::Stored},
        {"lost", {own, lose}, other, AnswerKind::Unknown},
        {"lost, same attempt", {own, lose}, own, AnswerKind::Unknown},
        {"lost after completion", {own, complete, lose}, other, AnswerKind::Stored},
        {"completed after it was lost", {own, lose, complete}, other, AnswerKind::Stored},
        {"runner departed", {own, Depart{first}}, other, AnswerKind::Unknown},
        {"runner departed, then completed",
         {own, Depart{first}, complete},
         other,
         AnswerKind::Stored},
        {"other incarnation departed",
         {own, Depart{{"entry1", 10}}},
         other,
         AnswerKind::InProgress},
        {"abandoned", {own, Abandon{key, first, 1, 1}}, other, AnswerKind::Run},
        {"abandoned before Begin arrived",
         {Abandon{key, first, 1, 1}, own},
         other,
         AnswerKind::Run},
        {"late Begin of an abandoned attempt", {Abandon{key, first, 1, 1}}, own, AnswerKind::Stale},
        {"below the floor", {Abandon{key, first, 5, 6}}, own, AnswerKind::Stale},
        {"released by the floor",
         {own, Begin{{"x", "y"}, "z", first, 2, 2}},
         other,
         AnswerKind::Run},
        {"commands of a runner that does not own the record",
         {own, Complete{key, second, 1, answer}, Abandon{key, second, 3, 1}, Lose{key, second, 1}},
         other,
         AnswerKind::InProgress},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        State state;
        for (const Command &command : it.before)
            ledger::apply(state, command);
        const Answer given = ledger::apply(state, it.repeat);
        CHECK(nameOf(answerKindNames, given.kind) == nameOf(answerKindNames, it.expected));
        if (given.kind == AnswerKind::Stored)
            CHECK(given.stored.body == answer.body);
    }
}

TEST_CASE("Records expire at a ledger time, and records in progress never do")
{
    State state;
    ledger::apply(state, beginOf(first, 1));
    ledger::apply(state, beginOf(first, 2, "print", {"cyngor", "order-2"}));
    ledger::apply(state, Complete{key, first, 1, answer});
    passTime(state, state.bounds.retention - seconds(1));
    CHECK(kindOf(state, beginOf(second, 1)) == AnswerKind::Stored);
    passTime(state, seconds(2));
    CHECK(state.records.size() == 1);
    passTime(state, 10 * state.bounds.retention);
    CHECK(kindOf(state, beginOf(second, 2, "print", {"cyngor", "order-2"}))
          == AnswerKind::InProgress);
    const Duration before = state.now;
    // Only the first of these commands changes the ledger time: the others repeat a number, have an
    // older number, or come from a clock that was set back.
    ledger::apply(state, Advance{7, 3, seconds(5)});
    ledger::apply(state, Advance{7, 3, seconds(5)});
    ledger::apply(state, Advance{7, 2, seconds(5)});
    ledger::apply(state, Advance{7, 4, -hours(4)});
    CHECK(state.now == before + seconds(5));
    ledger::apply(state, Advance{7, 5, hours(1000)});
    CHECK(state.now == before + seconds(5) + state.bounds.maxAdvance);
}

TEST_CASE("The size is bounded, and a customer cannot fill the ledger alone")
{
    State state;
    state.bounds.maxRecords = 5;
    state.bounds.maxRecordsPerCustomer = 3;
    state.bounds.maxBodyBytes = 100;
    for (std::uint64_t i = 1; i <= 3; ++i)
        CHECK(kindOf(state, beginOf(first, i, "p", {"a", std::to_string(i)})) == AnswerKind::Run);
    CHECK(kindOf(state, beginOf(first, 4, "p", {"a", "4"})) == AnswerKind::Full);
    CHECK(kindOf(state, beginOf(first, 1, "p", {"a", "1"})) == AnswerKind::Run);
    CHECK(kindOf(state, beginOf(first, 5, "p", {"b", "5"})) == AnswerKind::Run);
    CHECK(kindOf(state, beginOf(first, 6, "p", {"b", "6"})) == AnswerKind::Run);
    CHECK(kindOf(state, beginOf(first, 7, "p", {"c", "7"})) == AnswerKind::Full);
    StoredAnswer large = answer;
    large.body.assign(101, 'x');
    ledger::apply(state, Complete{{"a", "1"}, first, 1, large});
    const Answer kept = ledger::apply(state, beginOf(second, 1, "p", {"a", "1"}));
    CHECK(kept.kind == AnswerKind::Stored);
    CHECK(kept.stored.bodyDropped);
    CHECK(state.bytes == 0);
}

TEST_CASE("Commands, answers and snapshots round-trip through their encoding")
{
    State state;
    const std::shared_ptr<State> other = std::make_shared<State>();
    const StateMachine machine = makeStateMachine(other);
    StoredAnswer binary = answer;
    binary.body = std::string("\0\xff\x80z", 4);
    const std::vector<Command> commands = {
        beginOf(first, 1),
        Complete{key, first, 1, binary},
        Begin{{"a", "b"}, "c", second, 3, 2},
        Lose{{"a", "b"}, second, 3},
        Abandon{{"a", "x"}, second, 7, 3},
        beginOf(second, 8, "p", {"q", "r"}),
        Advance{5, 1, seconds(3)},
        Depart{{"entry9", 9}},
    };
    for (std::size_t i = 0; i < commands.size(); ++i) {
        const std::string given = machine.apply(i, encodeCommand(commands[i]));
        CHECK(given == encodeAnswer(ledger::apply(state, commands[i])));
    }
    CHECK(encodeState(state) == machine.save());
    const std::shared_ptr<State> third = std::make_shared<State>();
    const StateMachine restored = makeStateMachine(third);
    orElse(
        [&] {
            return restored.restore(machine.save());
        },
        [](const Error &error) {
            FAIL(describe(error));
        });
    CHECK(restored.save() == machine.save());
    for (const Command &it : std::vector<Command>{beginOf(second, 9), Depart{second},
                                                  beginOf(first, 4, "p", {"q", "r"})})
        CHECK(restored.apply(9, encodeCommand(it)) == machine.apply(9, encodeCommand(it)));
    CHECK(restored.save() == machine.save());
    CHECK(restored.read("") == machine.read(""));
    CHECK(machine.apply(10, "not a command").empty());
    const std::string fullSnapshot = machine.save();
    for (std::size_t length = 0; length < fullSnapshot.size(); length += 7) {
        const bool isAccepted = orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(decodeState(fullSnapshot.substr(0, length), "test"));
                return true;
            },
            [](const Error &) {
                return false;
            });
        CHECK_FALSE(isAccepted);
    }
}

TEST_CASE("bytes whose numbers do not fit or that repeat a record are refused")
{
    nlohmann::json advance = nlohmann::json::from_cbor(encodeCommand(Advance{5, 1, seconds(3)}));
    advance["elapsed"] = UINT64_MAX;
    CHECK(codeOf([&] {
              return decodeCommand(wire::toCbor(advance), "test");
          })
          == ErrorCode::InvalidRequest);
    State state;
    ledger::apply(state, beginOf(first, 1));
    nlohmann::json snapshot = nlohmann::json::from_cbor(encodeState(state));
    snapshot["records"].push_back(snapshot["records"][0]);
    CHECK(codeOf([&] {
              return decodeState(wire::toCbor(snapshot), "test");
          })
          == ErrorCode::Corrupt);
}

TEST_CASE("An entry's next step for each answer of the ledger")
{
    struct Case
    {
        AnswerKind kind;
        bool runs;
        bool hasAnswer;
        std::optional<ErrorCode> code;
        Outcome outcome;
        bool hasRetryAfter;
    };
    const std::vector<Case> cases = {
        {AnswerKind::Run, true, false, {}, Outcome::NotRun, false},
        {AnswerKind::Stored, false, true, {}, Outcome::NotRun, false},
        {AnswerKind::Unknown, false, false, ErrorCode::Conflict, Outcome::Unknown, false},
        {AnswerKind::InProgress, false, false, ErrorCode::Conflict, Outcome::Unknown, true},
        {AnswerKind::Conflict, false, false, ErrorCode::Conflict, Outcome::NotRun, false},
        {AnswerKind::Full, false, false, ErrorCode::Overloaded, Outcome::NotRun, true},
        {AnswerKind::Stale, false, false, ErrorCode::Unavailable, Outcome::Unknown, true},
        {AnswerKind::Done, false, false, ErrorCode::Unavailable, Outcome::Unknown, true},
    };
    for (const Case &it : cases) {
        CAPTURE(nameOf(answerKindNames, it.kind));
        AttemptNumbers numbers;
        Attempt attempt{key, "print", first, startNumber(numbers), {}, {}, {}, {}};
        const TimePoint now = TimePoint{} + seconds(9);
        REQUIRE(begin(attempt, numbers, now).command);
        const Step step = handleAnswer(attempt, numbers, {it.kind, answer, second}, now);
        CHECK(step.run == it.runs);
        CHECK(step.stored.has_value() == it.hasAnswer);
        REQUIRE(step.refusal.has_value() == it.code.has_value());
        if (!step.refusal)
            continue;
        CHECK(step.refusal->code == *it.code);
        CHECK(step.refusal->outcome == it.outcome);
        CHECK(step.refusal->retryAfter.has_value() == it.hasRetryAfter);
    }
}

TEST_CASE(
    "Without an answer from the ledger the request never runs, not even after a late permission")
{
    AttemptNumbers numbers;
    Attempt attempt{key, "print", first, startNumber(numbers), {}, {}, {}, {}};
    const AttemptTimes times;
    TimePoint now = TimePoint{} + seconds(9);
    begin(attempt, numbers, now);
    int resent = 0;
    std::optional<Error> refusal;
    for (int i = 0; i < 500 && !refusal; ++i) {
        now += milliseconds(10);
        const Step step = tick(attempt, numbers, times, now);
        resent += step.command && std::holds_alternative<Begin>(*step.command) ? 1 : 0;
        refusal = step.refusal;
    }
    REQUIRE(refusal);
    CHECK(resent >= 5);
    CHECK(refusal->code == ErrorCode::Unavailable);
    CHECK(refusal->retryAfter.has_value());
    const Step late = handleAnswer(attempt, numbers, {AnswerKind::Run, {}, first}, now);
    CHECK_FALSE(late.run);
    REQUIRE(late.command);
    CHECK(std::holds_alternative<Abandon>(*late.command));
    handleAnswer(attempt, numbers, {AnswerKind::Done, {}, {}}, now);
    CHECK(attempt.phase == AttemptPhase::Finished);
}

TEST_CASE("The end of a run is sent until it is recorded")
{
    AttemptNumbers numbers;
    Attempt attempt{key, "print", first, startNumber(numbers), {}, {}, {}, {}};
    const AttemptTimes times;
    TimePoint now = TimePoint{} + seconds(9);
    begin(attempt, numbers, now);
    handleAnswer(attempt, numbers, {AnswerKind::Run, {}, first}, now);
    CHECK(handleAnswer(attempt, numbers, {AnswerKind::Run, {}, first}, now).run == false);
    CHECK(finishRun(attempt, numbers, Outcome::Ran, answer, now).command);
    for (int i = 0; i < 100; ++i) {
        now += minutes(1);
        const Step step = tick(attempt, numbers, times, now);
        REQUIRE(step.command);
        REQUIRE(std::holds_alternative<Complete>(*step.command));
    }
    CHECK(floorOf(numbers) == attempt.number);
    handleAnswer(attempt, numbers, {AnswerKind::Done, {}, {}}, now);
    CHECK(attempt.phase == AttemptPhase::Finished);
    CHECK_FALSE(tick(attempt, numbers, times, now + minutes(1)).command);
}
