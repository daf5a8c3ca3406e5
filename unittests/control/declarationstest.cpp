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

TEST_CASE("the first declaration waits until the group has enough voters for the tolerated losses")
{
    // With fewer voters the loss of one disk loses acknowledged changes, or the majority
    // permanently.
    CHECK_FALSE(hasEnoughVoters(leaderOf(1), {}, 1));
    CHECK_FALSE(hasEnoughVoters(leaderOf(2), {}, 1));
    CHECK(hasEnoughVoters(leaderOf(3), {}, 1));
    CHECK_FALSE(hasEnoughVoters(leaderOf(4), {}, 2));
    CHECK(hasEnoughVoters(leaderOf(5), {}, 2));
    CHECK(hasEnoughVoters(leaderOf(1), {}, 0));
}

TEST_CASE("a group that holds a declaration accepts others while a lost disk is replaced")
{
    CHECK(hasEnoughVoters(leaderOf(2), held(), 1));
}

TEST_CASE("a member that does not lead does not check the number of voters")
{
    LogStatus follower = leaderOf(1);
    follower.raftState.role = consensus::Role::Follower;
    CHECK(hasEnoughVoters(follower, {}, 1));
}
