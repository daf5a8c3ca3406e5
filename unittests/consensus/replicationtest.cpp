// Tests of replication, commit and membership changes.

#include "bench.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/consensus/group.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

constexpr Duration electionTimeout = ReplicaSettings().electionTimeout;

bool isChange(const Message &message)
{
    const auto *append = std::get_if<AppendRequest>(&message.body);
    return append && !append->entries.empty();
}

std::vector<std::string> changesOf(const std::vector<Entry> &entries)
{
    std::vector<std::string> changes;
    for (const Entry &it : entries) {
        if (it.kind == EntryKind::Change)
            changes.push_back(it.data);
    }
    return changes;
}

std::optional<ErrorCode> propose(Replica &replica, const std::string &data, TimePoint now)
{
    return codeOf([&] {
        return replica.propose(data, now);
    });
}

std::optional<ErrorCode> change(Replica &replica, MembershipStep step, const MemberId &member,
                                TimePoint now)
{
    return codeOf([&] {
        return replica.changeMembers({step, member}, now);
    });
}

/// Returns a response by which member \p from accepts entries up to \p index from the leader \p to.
Message appended(std::size_t from, std::size_t to, std::uint64_t term, std::uint64_t index)
{
    return {0, memberId(from), memberId(to), term, AppendResponse{true, index, 0}};
}

} // namespace

TEST_CASE("changes are applied everywhere in the order of their proposal")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    std::vector<std::string> changes;
    for (int n = 0; n < 50; ++n) {
        changes.push_back("change " + std::to_string(n));
        REQUIRE(propose(bench[leader], changes.back(), bench.now) == std::nullopt);
    }
    bench.advanceTime(electionTimeout);
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(changesOf(bench.committed[n]) == changes);
}

TEST_CASE("a proposal that can't be accepted fails with its reason")
{
    ReplicaSettings settings;
    settings.maxProposalBytes = 100;
    settings.maxUncommittedBytes = 250;
    Bench bench(3, 0, settings);
    const std::size_t leader = bench.waitForLeader();
    const std::string leaderName = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(bench[(leader + 1) % 3].propose("change", bench.now));
            return std::string("accepted");
        },
        [](const Error &error) {
            return error.code == ErrorCode::NotLeader ? error.peer : error.message;
        });
    CHECK(leaderName == memberId(leader).instance);
    const std::string large(100, 'x');
    CHECK(propose(bench[leader], large + "x", bench.now) == ErrorCode::TooLarge);
    CHECK(propose(bench[leader], large, bench.now) == std::nullopt);
    CHECK(propose(bench[leader], large, bench.now) == std::nullopt);
    CHECK(propose(bench[leader], large, bench.now) == ErrorCode::Overloaded);
    bench.deliver();
    CHECK(propose(bench[leader], large, bench.now) == std::nullopt);
}

TEST_CASE("the size of appends and their number in flight to one member are bounded")
{
    ReplicaSettings settings;
    settings.maxAppendBytes = 50;
    settings.maxInflight = 3;
    Bench bench(2, 0, settings);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    for (int n = 0; n < 100; ++n)
        REQUIRE(propose(bench[leader], std::string(20, 'x'), bench.now) == std::nullopt);
    bench.applyEffects(leader);
    CHECK(std::count_if(bench.messages.begin(), bench.messages.end(), isChange) == 3);
    for (const Message &it : bench.messages) {
        if (isChange(it))
            CHECK(std::get<AppendRequest>(it.body).entries.size() <= 2);
    }
    bench.deliver();
    CHECK(bench[leader].commitIndex() == bench[leader].lastIndex());
}

// Guards against a member that returns and is sent a whole queue of large entries at once.
TEST_CASE("the bytes in flight to one member are bounded, and a larger entry is in flight alone")
{
    struct Row
    {
        std::size_t entryBytes;
        std::size_t messages;
    };
    for (const Row &row : {Row{20, 2}, Row{60, 1}, Row{100, 1}, Row{300, 1}}) {
        CAPTURE(row.entryBytes);
        ReplicaSettings settings;
        settings.maxAppendBytes = 50;
        settings.maxInflightBytes = 100;
        Bench bench(2, 0, settings);
        const std::size_t leader = bench.waitForLeader();
        bench.advanceTime(electionTimeout);
        for (int n = 0; n < 10; ++n)
            REQUIRE(propose(bench[leader], std::string(row.entryBytes, 'x'), bench.now)
                    == std::nullopt);
        bench.applyEffects(leader);
        CHECK(std::count_if(bench.messages.begin(), bench.messages.end(), isChange)
              == static_cast<std::ptrdiff_t>(row.messages));
        bench.deliver();
        CHECK(bench[leader].commitIndex() == bench[leader].lastIndex());
    }
}

// Guards against a queue that grows with each heartbeat to a member that does not read.
TEST_CASE("a member that does not respond is sent no entries until it responds")
{
    Bench bench(3);
    const Bench::Filter cut = dropMessagesOf(2);
    const std::size_t leader = bench.waitForLeader(cut);
    REQUIRE(leader < 2);
    REQUIRE(propose(bench[leader], "change", bench.now) == std::nullopt);
    bench.advanceTime(2 * electionTimeout, cut);
    int sent = 0;
    bench.advanceTime(2 * electionTimeout, [&](const Message &message) {
        sent += message.to.instance == memberId(2).instance && isChange(message) ? 1 : 0;
        return cut(message);
    });
    CHECK(sent == 0);
    bench.advanceTime(2 * electionTimeout);
    CHECK(changesOf(bench.committed[2]) == std::vector<std::string>{"change"});
}

TEST_CASE("an entry of an earlier term is committed only along with one of the leader's term")
{
    Bench bench(3);
    storage::Contents contents = bootstrapContents(3);
    contents.hardState.term = 3;
    contents.entries = {{2, 2, EntryKind::Change, "of a former term"}};
    bench.start(0, contents);
    REQUIRE(bench.waitForLeader([](const Message &it) {
        return !std::holds_alternative<AppendRequest>(it.body);
    }) == 0);
    const std::uint64_t term = bench[0].raftState().term;
    bench[0].receive(appended(1, 0, term, 2), bench.now);
    bench.applyEffects(0);
    CHECK(bench[0].commitIndex() == 1);
    bench[0].receive(appended(1, 0, term, 3), bench.now);
    bench.applyEffects(0);
    CHECK(bench[0].commitIndex() == 3);
}

TEST_CASE("the leader counts its own copy of an entry only once it is durable")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    const std::uint64_t term = bench[leader].raftState().term;
    REQUIRE(propose(bench[leader], "change", bench.now) == std::nullopt);
    const Effects effects = bench[leader].drain(bench.now);
    const std::uint64_t index = effects.lastEntry.index;
    bench[leader].receive(appended((leader + 1) % 3, leader, term, index), bench.now);
    CHECK(bench[leader].commitIndex() == index - 1);
    bench[leader].markDurable(effects.lastEntry, bench.now);
    CHECK(bench[leader].commitIndex() == index);
}

TEST_CASE("a member applies a committed entry only once it is durable there")
{
    Bench bench(3);
    const AppendRequest body{1, 1, 2, 1, {{2, 4, EntryKind::Change, "change"}}};
    bench[1].receive({0, memberId(0), memberId(1), 4, body}, bench.now);
    const Effects effects = bench[1].drain(bench.now);
    CHECK(effects.committed.empty());
    bench[1].markDurable(effects.lastEntry, bench.now);
    CHECK(bench[1].drain(bench.now).committed.size() == 1);
}

TEST_CASE("a learner receives the log and is not part of any quorum")
{
    Bench bench(2, 1);
    const std::size_t leader = bench.waitForLeader();
    REQUIRE(leader < 2);
    const std::size_t other = 1 - leader;
    bench.advanceTime(electionTimeout);
    REQUIRE(propose(bench[leader], "change", bench.now) == std::nullopt);
    bench.deliver(dropMessagesOf(other));
    CHECK(bench[leader].commitIndex() == bench[leader].lastIndex() - 1);
    bench.advanceTime(electionTimeout / 2);
    CHECK(changesOf(bench.committed[2]) == std::vector<std::string>{"change"});
    SUBCASE("its vote does not elect")
    {
        bench.advanceTime(10 * electionTimeout, dropMessagesOf(leader));
        CHECK(bench[other].raftState().role == Role::PreCandidate);
        CHECK(bench[2].raftState().role == Role::Learner);
    }
}

TEST_CASE("membership changes one step at a time")
{
    Bench bench(3, 1);
    const MemberId learner = memberId(3);
    const MemberId unknown{"member-9", 10};
    const std::size_t newLeader = bench.waitForLeader([](const Message &it) {
        return !isChange(it);
    });
    CHECK(change(bench[newLeader], MembershipStep::Remove, learner, bench.now)
          == ErrorCode::Unavailable);
    bench.advanceTime(electionTimeout);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t other = (leader + 1) % 3;
    struct Row
    {
        MembershipStep step;
        MemberId member;
        std::optional<ErrorCode> result;
    };
    const std::vector<Row> rows{
        {MembershipStep::Promote, unknown, ErrorCode::InvalidRequest},
        {MembershipStep::Promote, memberId(other), ErrorCode::InvalidRequest},
        {MembershipStep::Remove, unknown, ErrorCode::InvalidRequest},
        {MembershipStep::AddLearner, learner, ErrorCode::InvalidRequest},
        {MembershipStep::AddLearner, {"", 5}, ErrorCode::InvalidRequest},
        {MembershipStep::AddLearner, {"member-9", 0}, ErrorCode::InvalidRequest},
        {MembershipStep::Promote, learner, std::nullopt},
        {MembershipStep::Remove, memberId(other), ErrorCode::Unavailable},
    };
    for (const Row &it : rows)
        CHECK(change(bench[leader], it.step, it.member, bench.now) == it.result);
    bench.deliver();
    CHECK(bench[other].configuration().isVoter(learner));
    CHECK(change(bench[leader], MembershipStep::Remove, memberId(other), bench.now)
          == std::nullopt);
    bench.deliver();
    CHECK_FALSE(bench[leader].configuration().contains(memberId(other)));
}

TEST_CASE("a membership step that would leave no responsive majority is rejected")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t silent = (leader + 1) % 3;
    bench.advanceTime(3 * electionTimeout, dropMessagesOf(silent));
    CHECK(change(bench[leader], MembershipStep::Remove, memberId((leader + 2) % 3), bench.now)
          == ErrorCode::Unavailable);
    CHECK(change(bench[leader], MembershipStep::Remove, memberId(silent), bench.now)
          == std::nullopt);
}

TEST_CASE("a learner that lags too far behind is not promoted")
{
    ReplicaSettings settings;
    settings.maxPromotionLag = 2;
    Bench bench(3, 1, settings);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    for (int n = 0; n < 3; ++n)
        REQUIRE(propose(bench[leader], "change", bench.now) == std::nullopt);
    bench.deliver(dropMessagesOf(3));
    CHECK(change(bench[leader], MembershipStep::Promote, memberId(3), bench.now)
          == ErrorCode::Unavailable);
    bench.advanceTime(electionTimeout);
    CHECK(change(bench[leader], MembershipStep::Promote, memberId(3), bench.now) == std::nullopt);
}

TEST_CASE("a leader that removes itself leads until the step is committed and then steps down")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    REQUIRE(change(bench[leader], MembershipStep::Remove, memberId(leader), bench.now)
            == std::nullopt);
    bench.applyEffects(leader);
    CHECK(bench[leader].raftState().role == Role::Leader);
    bench.advanceTime(5 * electionTimeout);
    CHECK(bench[leader].raftState().role == Role::Learner);
    const std::size_t next = bench.waitForLeader();
    CHECK(next != leader);
    CHECK_FALSE(bench[next].configuration().contains(memberId(leader)));
}

TEST_CASE("a member removed during a partition learns of it and requests no more votes")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t removed = (leader + 1) % 3;
    const std::uint64_t term = bench[leader].raftState().term;
    bench.advanceTime(electionTimeout);
    REQUIRE(change(bench[leader], MembershipStep::Remove, memberId(removed), bench.now)
            == std::nullopt);
    bench.advanceTime(5 * electionTimeout, dropMessagesOf(removed));
    CHECK_FALSE(bench[removed].isRemoved());
    bench.advanceTime(3 * electionTimeout);
    CHECK(bench[removed].isRemoved());
    std::size_t sent = 0;
    bench.advanceTime(5 * electionTimeout, [&](const Message &it) {
        sent += it.from == memberId(removed) ? 1 : 0;
        return true;
    });
    CHECK(sent == 0);
    CHECK(bench[leader].raftState().term == term);
    // After a restart, the member requests votes again and learns of its removal again.
    storage::Contents contents = bootstrapContents(3);
    contents.hardState.term = term + 5;
    bench.start(removed, contents);
    bench.advanceTime(5 * electionTimeout);
    CHECK(bench[removed].isRemoved());
    // A leader can add the removed member again.
    REQUIRE(change(bench[leader], MembershipStep::AddLearner, memberId(removed), bench.now)
            == std::nullopt);
    bench.advanceTime(3 * electionTimeout);
    CHECK_FALSE(bench[removed].isRemoved());
    CHECK(bench[removed].raftState().role == Role::Learner);
}

TEST_CASE("a member does not mistake an older configuration without it for its removal")
{
    Bench bench(3, 1);
    const std::size_t leader = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    REQUIRE(change(bench[leader], MembershipStep::Promote, memberId(3), bench.now) == std::nullopt);
    bench.advanceTime(electionTimeout);
    const auto answer = [&](std::uint64_t removalIndex) {
        const VoteResponse refusal{true, false, removalIndex, bench[3].raftState().term};
        bench[3].receive({0, memberId(0), memberId(3), 1, refusal}, bench.now);
        return bench[3].isRemoved();
    };
    const std::uint64_t present = bench[3].lastIndex();
    CHECK_FALSE(answer(1));
    CHECK_FALSE(answer(present));
    CHECK(answer(present + 1));
}

TEST_CASE("a former leader with an uncommitted later step learns of its removal")
{
    Bench bench(3);
    const std::size_t former = bench.waitForLeader();
    bench.advanceTime(electionTimeout);
    for (int n = 0; n < 20; ++n) {
        CHECK_FALSE(codeOf([&] {
            return bench[former].propose("lost", bench.now);
        }));
    }
    REQUIRE(change(bench[former], MembershipStep::AddLearner, memberId(7), bench.now)
            == std::nullopt);
    const std::uint64_t ownStep = bench[former].lastIndex();
    bench.advanceTime(5 * electionTimeout, dropMessagesOf(former));
    const std::size_t leader = bench.waitForLeader(dropMessagesOf(former));
    REQUIRE(leader != former);
    REQUIRE(change(bench[leader], MembershipStep::Remove, memberId(former), bench.now)
            == std::nullopt);
    bench.advanceTime(electionTimeout, dropMessagesOf(former));
    // The committed removal has a lower index than the step that was never committed.
    REQUIRE(bench[leader].commitIndex() < ownStep);
    REQUIRE(bench[former].lastIndex() == ownStep);
    bench.advanceTime(3 * electionTimeout);
    CHECK(bench[former].isRemoved());
    CHECK(bench[leader].raftState().role == Role::Leader);
}

TEST_CASE("an instance with empty storage becomes a voter again step by step")
{
    Bench bench(3);
    const std::size_t leader = bench.waitForLeader();
    const std::size_t lost = (leader + 1) % 3;
    const MemberId replacement{memberId(lost).instance, 77};
    bench.advanceTime(electionTimeout);
    bench.start(lost, {}, replacement);
    const std::vector<std::string> wanted{"member-0", "member-1", "member-2"};
    std::vector<MembershipStep> steps;
    for (int n = 0; n < 100 && !bench[leader].configuration().isVoter(replacement); ++n) {
        bench.advanceTime(std::chrono::milliseconds(100));
        const auto step = nextMembershipStep(bench[leader], wanted, {replacement}, bench.now);
        if (step && change(bench[leader], step->step, step->member, bench.now) == std::nullopt)
            steps.push_back(step->step);
    }
    CHECK(steps
          == std::vector<MembershipStep>{MembershipStep::AddLearner, MembershipStep::Remove,
                                         MembershipStep::Promote});
    CHECK(bench[leader].configuration().voters.size() == 3);
}

TEST_CASE("duplicated and reordered appends lead to the same log")
{
    // The leader's log. The member's entry 3 has term 3 instead of 2 and must be
    // replaced.
    std::vector<Entry> entries;
    for (std::uint64_t n = 2; n <= 12; ++n)
        entries.push_back({n, n < 5 ? 2U : 4U, EntryKind::Change, "entry " + std::to_string(n)});
    storage::Contents contents = bootstrapContents(3);
    contents.hardState.term = 3;
    contents.entries = {{2, 2, EntryKind::Change, "entry 2"}, {3, 3, EntryKind::Change, "other"}};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        Bench bench(3);
        bench.start(1, contents);
        std::uint64_t committed = 1;
        for (int n = 0; n < 40; ++n) {
            const std::size_t first = random.below(entries.size());
            const std::size_t count = random.below(entries.size() - first + 1);
            AppendRequest body;
            body.previousIndex = first + 1;
            body.previousTerm = first == 0 ? 1 : entries[first - 1].term;
            const auto from = entries.begin() + static_cast<std::ptrdiff_t>(first);
            body.entries.assign(from, from + static_cast<std::ptrdiff_t>(count));
            body.commitIndex = 1 + random.below(12);
            committed = std::max(committed, body.commitIndex);
            bench[1].receive({0, memberId(0), memberId(1), 4, body}, bench.now);
            bench.applyEffects(1);
            const std::uint64_t applied = bench[1].commitIndex();
            REQUIRE(applied <= committed);
            for (std::uint64_t at = 2; at <= applied; ++at)
                REQUIRE(bench.committed[1][at - 2].data == "entry " + std::to_string(at));
        }
    }
}

TEST_CASE("malformed appends change nothing")
{
    const std::vector<std::vector<Entry>> rows{
        {{3, 1, EntryKind::Change, "gap"}},
        {{2, 9, EntryKind::Change, "term after the sender's"}},
        {{2, 4, EntryKind::Change, "term"}, {3, 3, EntryKind::Change, "that goes back"}},
        {{2, 1, EntryKind::Configuration, "no configuration"}},
    };
    for (const auto &it : rows) {
        CAPTURE(it.front().data);
        Bench bench(3);
        bench[1].receive({0, memberId(0), memberId(1), 4, AppendRequest{1, 1, 9, 1, it}},
                         bench.now);
        bench.applyEffects(1);
        CHECK(bench[1].lastIndex() == 1);
        CHECK(bench.messages.empty());
    }
}
