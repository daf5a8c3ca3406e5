// Tests which declarations a member of a platform accepts.

#include "declarations.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;

namespace {

LogStatus leaderOf(std::uint64_t voters)
{
    LogStatus status;
    status.raftState.role = consensus::Role::Leader;
    for (std::uint64_t n = 1; n <= voters; ++n)
        status.configuration.voters.push_back({"10.0.0." + std::to_string(n) + ":7600", n});
    return status;
}

catalogue::Declaration held()
{
    catalogue::Declaration it;
    it.version = 1;
    it.text = std::make_shared<const std::string>("{}");
    return it;
}

} // namespace

TEST_CASE("the first declaration waits until the group bears the losses tolerated")
{
    // With fewer voters the loss of one disk loses acknowledged changes, or the majority
    // permanently.
    CHECK_FALSE(isGroupComplete(leaderOf(1), {}, 1));
    CHECK_FALSE(isGroupComplete(leaderOf(2), {}, 1));
    CHECK(isGroupComplete(leaderOf(3), {}, 1));
    CHECK_FALSE(isGroupComplete(leaderOf(4), {}, 2));
    CHECK(isGroupComplete(leaderOf(5), {}, 2));
    CHECK(isGroupComplete(leaderOf(1), {}, 0));
}

TEST_CASE("a complete group takes declarations while a lost disk is replaced")
{
    CHECK(isGroupComplete(leaderOf(2), held(), 1));
}

TEST_CASE("a member that does not lead passes declarations on")
{
    LogStatus follower = leaderOf(1);
    follower.raftState.role = consensus::Role::Follower;
    CHECK(isGroupComplete(follower, {}, 1));
}
