// Tests of elections, votes, leases and leadership transfer.

#include "bench.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

constexpr Duration electionTimeout = ReplicaSettings().electionTimeout;

Message voteRequest(std::size_t from, std::size_t to, std::uint64_t term, bool preVote = false)
{
    return {0, memberId(from), memberId(to), term, VoteRequest{preVote, false, 100, term}};
}

std::size_t grantedVotes(const std::vector<Message> &messages)
{
    return static_cast<std::size_t>(
        std::count_if(messages.begin(), messages.end(), [](const Message &it) {
            const auto *answer = std::get_if<VoteResponse>(&it.body);
            return answer && answer->granted;
        }));
}

} // namespace

TEST_CASE("one of several members is elected and stays leader")
{
    for (const std::size_t size : {1, 2, 3, 5}) {
        CAPTURE(size);
        Bench bench(size);
        const std::size_t leader = bench.waitForLeader();
        REQUIRE(leader != Bench::noMember);
        const std::uint64_t term = bench[leader].raftState().term;
        bench.advanceTime(10 * electionTimeout);
        for (std::size_t n = 0; n < size; ++n) {
            CHECK(bench[n].raftState().term == term);
            CHECK(bench[n].raftState().leader == memberId(leader));
        }
    }
}

TEST_CASE("a member that was partitioned does not disrupt the leader when it returns")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t other = (leader + 1) % 3;
    const std::uint64_t term = bench[leader].raftState().term;
    bench.advanceTime(20 * electionTimeout, dropMessagesOf(other));
    bench.advanceTime(5 * electionTimeout);
    CHECK(bench[leader].raftState().role == Role::Leader);
    CHECK(bench[leader].raftState().term == term);
    CHECK(bench[other].raftState().leader == memberId(leader));
}

TEST_CASE("a partitioned leader steps down and rejects proposals")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(2 * electionTimeout + ReplicaSettings().heartbeat, dropMessagesOf(leader));
    CHECK(bench[leader].raftState().role != Role::Leader);
    CHECK(codeOf([&] {
              return bench[leader].propose("change", bench.now);
          })
          == ErrorCode::NotLeader);
}

TEST_CASE("a member in contact with a leader votes for no other candidate")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t voter = (leader + 1) % 3;
    const std::size_t candidate = (leader + 2) % 3;
    const std::uint64_t term = bench[voter].raftState().term;
    bench.advanceTime(electionTimeout);
    for (const bool preVote : {true, false}) {
        bench[voter].receive(voteRequest(candidate, voter, term + 1, preVote), bench.now);
        bench.applyEffects(voter);
        CHECK(grantedVotes(bench.messages) == 0);
        CHECK(bench[voter].raftState().term == term);
    }
}

TEST_CASE("a restarted member grants no vote while it may have supported a valid lease")
{
    Bench bench(3);
    bench.start(1, bootstrapContents(3));
    bench.now += electionTimeout - Duration(1);
    bench[1].receive(voteRequest(2, 1, 5), bench.now);
    bench.applyEffects(1);
    CHECK(grantedVotes(bench.messages) == 0);
    bench.now += Duration(1);
    bench[1].receive(voteRequest(2, 1, 5), bench.now);
    bench.applyEffects(1);
    CHECK(grantedVotes(bench.messages) == 1);
}

TEST_CASE("a vote is made durable before it is sent and is kept after a restart")
{
    Bench bench(3);
    bench.now += 3 * electionTimeout;
    bench[1].receive(voteRequest(2, 1, 5), bench.now);
    const Effects effects = bench[1].drain(bench.now);
    REQUIRE(effects.hardState);
    CHECK(effects.hardState->votedFor == memberId(2).instance);
    CHECK(grantedVotes(effects.messages) == 1);
    storage::Contents contents = bootstrapContents(3);
    contents.hardState = *effects.hardState;
    bench.start(1, contents);
    bench.now += 3 * electionTimeout;
    bench[1].receive(voteRequest(0, 1, 5), bench.now);
    bench.applyEffects(1);
    CHECK(grantedVotes(bench.messages) == 0);
    bench[1].receive(voteRequest(2, 1, 5), bench.now);
    bench.applyEffects(1);
    CHECK(grantedVotes(bench.messages) == 1);
}

TEST_CASE("a vote in an already known term is made durable too")
{
    Bench bench(3);
    bench.now += 3 * electionTimeout;
    bench[1].receive({0, memberId(0), memberId(1), 5, VoteResponse{false, false}}, bench.now);
    bench.applyEffects(1);
    bench[1].receive(voteRequest(2, 1, 5), bench.now);
    const Effects effects = bench[1].drain(bench.now);
    CHECK(grantedVotes(effects.messages) == 1);
    REQUIRE(effects.hardState);
    CHECK(effects.hardState->votedForIdentity == memberId(2).identity);
}

TEST_CASE("a member that lost its disk does not count as its former storage identity")
{
    Bench bench(3);
    const MemberId replacement{memberId(2).instance, 77};
    bench.start(2, {}, replacement);
    SUBCASE("it drops what is addressed to its former identity")
    {
        bench.now += 3 * electionTimeout;
        bench[2].receive(voteRequest(0, 2, 5), bench.now);
        bench.applyEffects(2);
        CHECK(bench.messages.empty());
    }
    SUBCASE("its vote does not elect a leader")
    {
        bench.start(0, bootstrapContents(3));
        bench.now += 3 * electionTimeout;
        bench[0].tick(bench.now);
        bench.applyEffects(0);
        for (const bool preVote : {true, false}) {
            const std::uint64_t term = preVote ? 2 : bench[0].raftState().term;
            bench[0].receive({0, replacement, memberId(0), term, VoteResponse{preVote, true}},
                             bench.now);
            bench.applyEffects(0);
        }
        CHECK(bench[0].raftState().role == Role::PreCandidate);
    }
}

TEST_CASE("a leader that was suspended past its lease confirms no read")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    CHECK(bench[leader].mayRead(bench.now));
    bench.now += electionTimeout;
    CHECK_FALSE(bench[leader].mayRead(bench.now));
    REQUIRE(codeOf([&] {
                return bench[leader].readIndex(1, bench.now);
            })
            == std::nullopt);
    bench.applyEffects(leader);
    CHECK(bench.confirmedReads.empty());
    SUBCASE("answers to the new round confirm it")
    {
        bench.deliver();
        CHECK(bench.confirmedReads == std::vector<std::uint64_t>{1});
    }
    SUBCASE("without answers it is never confirmed")
    {
        bench.advanceTime(5 * electionTimeout, dropMessagesOf(leader));
        CHECK(bench.confirmedReads.empty());
        CHECK(bench[leader].raftState().role != Role::Leader);
    }
}

TEST_CASE("the lease ends before the fastest clock of a voter lets it vote again")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    // On a voter whose clock runs faster by the maximum drift, the election timeout passes after
    // this time.
    const Duration minTimeout =
        electionTimeout * 1000 / (1000 + ReplicaSettings().clockDriftPerMille);
    bench.now += minTimeout + Duration(1);
    CHECK_FALSE(bench[leader].mayRead(bench.now));
}

TEST_CASE("a new leader answers no read before its first entry is committed")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader([](const Message &it) {
        return !std::holds_alternative<AppendRequest>(it.body);
    });
    REQUIRE(codeOf([&] {
                return bench[leader].readIndex(1, bench.now);
            })
            == std::nullopt);
    // The heartbeat round gets responses, but the leader's first entry stays uncommitted.
    bench.deliver([](const Message &it) {
        const auto *append = std::get_if<AppendRequest>(&it.body);
        return !append || append->entries.empty();
    });
    CHECK_FALSE(bench[leader].mayRead(bench.now));
    CHECK(bench.confirmedReads.empty());
    bench.advanceTime(2 * electionTimeout);
    CHECK(bench.confirmedReads == std::vector<std::uint64_t>{1});
}

TEST_CASE("leadership transfers to a named voter and the request ends the leader's lease")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t target = (leader + 1) % 3;
    bench.advanceTime(electionTimeout);
    REQUIRE(bench[leader].mayRead(bench.now));
    REQUIRE(codeOf([&] {
                return bench[leader].transferLeadership(memberId(target), bench.now);
            })
            == std::nullopt);
    CHECK_FALSE(bench[leader].mayRead(bench.now));
    bench.deliver();
    CHECK(bench[target].raftState().role == Role::Leader);
    CHECK(bench[leader].raftState().role == Role::Follower);
}
