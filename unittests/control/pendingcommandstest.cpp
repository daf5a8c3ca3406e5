// Tests that the callback of each proposed command is called exactly once.

#include "pendingcommands.h"

#include <doctest/doctest.h>

#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::control;

TEST_CASE("every command is answered once, also when its log entry is replaced")
{
    std::map<std::string, std::vector<CommandResult>> answers;
    const auto into = [&answers](const std::string &name) {
        return [&answers, name](const CommandResult &result) {
            answers[name].push_back(result);
        };
    };
    const auto outcomeOf = [&answers](const std::string &name) {
        REQUIRE(answers[name].size() == 1);
        REQUIRE(answers[name][0].error);
        return answers[name][0].error->outcome;
    };
    const TimePoint start(std::chrono::seconds(10));
    const CommandResult late{Error{ErrorCode::Timeout, "log", {}, "late", Outcome::Unknown, {}},
                             {}};
    PendingCommands pending;
    pending.add({3, 1}, start, into("replaced"));
    pending.add({4, 1}, start, into("cut off"));
    pending.add({5, 1}, start, into("old"));
    // This member is the leader again in term 3, after its log was truncated to the second entry.
    pending.add({3, 3}, start + Duration(1), into("accepted"));
    CHECK(outcomeOf("replaced") == Outcome::Unknown);
    pending.finish({3, 3}, "done");
    pending.finish({4, 3}, "of another command");
    pending.finishOlder(start + Duration(1), late);
    pending.finishAll(late);
    REQUIRE(answers["accepted"].size() == 1);
    CHECK(answers["accepted"][0].answer == "done");
    CHECK(outcomeOf("cut off") == Outcome::NotRun);
    CHECK(outcomeOf("old") == Outcome::Unknown);
    CHECK(answers["replaced"].size() == 1);
}
