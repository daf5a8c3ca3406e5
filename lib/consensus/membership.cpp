// Membership changes of a group, one step at a time: joining, validation of steps, and removal.

#include "kumquathaven/consensus/group.h"
#include "kumquathaven/consensus/replica.h"

#include "kumquathaven/base/enumnames.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace kumquathaven::consensus {

namespace {

constexpr std::array<EnumName<MembershipStep>, 3> stepNames{{
    {MembershipStep::AddLearner, "addLearner"},
    {MembershipStep::Promote, "promote"},
    {MembershipStep::Remove, "remove"},
}};

boost::leaf::error_id failUnavailable(const MemberId &member, const char *message)
{
    return fail({ErrorCode::Unavailable,
                 "consensus.changeMembers",
                 member.instance,
                 message,
                 Outcome::NotRun,
                 {}});
}

bool isCaughtUp(const MemberProgress &progress, std::uint64_t commitIndex)
{
    return progress.matchIndex >= commitIndex;
}

/// Returns the member of an instance, or null.
const MemberId *memberOf(const std::vector<MemberId> &members, const std::string &instance)
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const MemberId &member) {
        return member.instance == instance;
    });
    return it == members.end() ? nullptr : &*it;
}

/// Returns the step that adds a member, after any learner of its instance with a former storage
/// identity is removed.
MembershipChange stepToAdd(const Configuration &configuration, const MemberId &member)
{
    if (const MemberId *former = memberOf(configuration.learners, member.instance))
        return {MembershipStep::Remove, *former};
    return {MembershipStep::AddLearner, member};
}

/// Returns whether a learner can take the place of a voter now.
bool isReady(const MemberProgress &progress, const AutomaticMembership &governance,
             std::uint64_t commitIndex)
{
    return !progress.isVoter && !progress.isLeaving && isCaughtUp(progress, commitIndex)
        && progress.timeSinceResponse <= governance.absenceTimeout / 2;
}

/// Returns whether a voter counts as lost: it has been silent, or says that it is about to end.
bool isAbsent(const MemberProgress &progress, const AutomaticMembership &governance)
{
    return progress.isLeaving || progress.timeSinceResponse > governance.absenceTimeout;
}

/// The voters of a group, as its leader sees them.
struct VoterCount
{
    std::size_t voters = 0;
    /// Voters that may be lost already: silent for half of the absence timeout.
    std::size_t silent = 0;
    std::size_t absent = 0;
    bool isAnyLeaving = false;
    /// Learners that can take the place of voters.
    std::size_t ready = 0;
};

VoterCount countVoters(const Replica &replica, const AutomaticMembership &governance,
                       const std::vector<MemberProgress> &progress)
{
    VoterCount count;
    for (const MemberProgress &it : progress) {
        if (it.isVoter) {
            ++count.voters;
            count.silent += it.timeSinceResponse > governance.absenceTimeout / 2 ? 1 : 0;
            count.absent += isAbsent(it, governance) ? 1 : 0;
            count.isAnyLeaving = count.isAnyLeaving || it.isLeaving;
        } else if (isReady(it, governance, replica.commitIndex())) {
            ++count.ready;
        }
    }
    return count;
}

std::size_t majorityOf(std::size_t voters)
{
    return voters / 2 + 1;
}

bool isEven(const VoterCount &count)
{
    return count.voters % 2 == 0;
}

/// Returns whether a learner may become a voter. A voter beyond an odd number makes the majority
/// larger and nothing safer, so that it stays a learner until a voter leaves or is missing. A
/// newcomer that is lost at once must not take the majority with it.
bool mayPromote(const VoterCount &count, const AutomaticMembership &governance)
{
    constexpr std::size_t smallestWithLosses = 3;
    if (count.voters < std::max(governance.minVoters, smallestWithLosses))
        return true;
    const bool isUseful = isEven(count) || count.ready > 1 || count.isAnyLeaving;
    return isUseful && count.voters - count.silent >= majorityOf(count.voters + 1);
}

bool mayRemoveVoter(const VoterCount &count, const AutomaticMembership &governance)
{
    return count.voters + count.ready > governance.minVoters;
}

/// Returns whether an absent voter is removed without waiting for the longer timeouts: a learner
/// takes its place, or the voters that respond would not keep a majority if as many of them were
/// lost as the group is to tolerate.
bool replacesAbsent(const VoterCount &count, const AutomaticMembership &governance)
{
    const std::size_t needed = majorityOf(count.voters) + toleratedLosses(governance);
    return count.ready > 0 || count.voters < count.absent + needed;
}

bool isRemovalDue(const MemberProgress &progress, const VoterCount &count,
                  const AutomaticMembership &governance)
{
    const Duration timeout =
        isEven(count) ? governance.evenRemovalTimeout : governance.removalTimeout;
    if (!progress.isVoter)
        return progress.timeSinceResponse > timeout;
    if (!mayRemoveVoter(count, governance))
        return false;
    return progress.timeSinceResponse > timeout || (progress.isLeaving && isEven(count))
        || (isAbsent(progress, governance) && replacesAbsent(count, governance));
}

/// Returns whether the leader should remove \p a rather than \p b.
bool isGoneLonger(const MemberProgress &a, const MemberProgress &b)
{
    return std::make_pair(a.isLeaving, a.timeSinceResponse)
        > std::make_pair(b.isLeaving, b.timeSinceResponse);
}

} // namespace

std::string_view membershipStepName(MembershipStep step)
{
    return nameOf(stepNames, step);
}

void Replica::sendJoinRequests(TimePoint now)
{
    m_electionDeadline = now + m_settings.electionTimeout;
    std::set<std::string> targets(m_instances.begin(), m_instances.end());
    for (const MemberId &it : m_configuration.voters)
        targets.insert(it.instance);
    for (const std::string &it : targets) {
        if (it != m_self.instance)
            send({it, 0}, m_hardState.term, JoinRequest{});
    }
}

void Replica::handle(const Message &message, const JoinRequest &, TimePoint)
{
    const bool isKnown = m_configuration.contains(message.from) || message.from.identity == 0;
    if (isKnown)
        return;
    if (m_role == Role::Leader)
        m_effects.joining.push_back(message.from);
    else if (m_settings.hasAutomaticMembership && m_leader
             && m_leader->instance != message.from.instance)
        m_effects.messages.push_back(
            {m_group, message.from, {m_leader->instance, 0}, message.term, JoinRequest{}});
}

Result<EntryId> Replica::changeMembers(const MembershipChange &change, TimePoint now)
{
    if (m_role != Role::Leader)
        return failNotLeader("consensus.changeMembers");
    BOOST_LEAF_AUTO(after, applyChange(m_configuration, change));
    BOOST_LEAF_CHECK(checkStep(change, after, now));
    append({lastIndex() + 1, m_hardState.term, EntryKind::Configuration, encode(after)});
    return EntryId{lastIndex(), m_hardState.term};
}

Result<void> Replica::checkStep(const MembershipChange &change, const Configuration &after,
                                TimePoint now) const
{
    // Two uncommitted steps could have disjoint majorities. So could a step of this leader and a
    // step of a former leader that this leader's log has not replaced yet.
    if (!hasCommittedInTerm() || m_configurations.back().at.index > m_commitIndex)
        return failUnavailable(change.member, "an earlier membership step is not committed yet");
    if (change.step == MembershipStep::Promote) {
        const Progress &progress = m_progress.at(change.member);
        if (progress.match + m_settings.maxPromotionLag < lastIndex())
            return failUnavailable(change.member, "the learner lags too far behind");
    }
    const auto responsive =
        std::count_if(after.voters.begin(), after.voters.end(), [&](const MemberId &it) {
            return isResponsive(it, now);
        });
    if (static_cast<std::size_t>(responsive) < quorumOf(after))
        return failUnavailable(change.member, "no majority of the resulting voters responds");
    return {};
}

void Replica::stepDownIfRemoved(TimePoint now)
{
    if (m_configuration.isVoter(m_self) || m_configurations.back().at.index > m_commitIndex)
        return;
    sendPending(now);
    becomeFollower(m_hardState.term, std::nullopt, now);
    m_removed = true;
}

/// Returns a refusal to vote. If \p member is not in the latest configuration known to be
/// committed, the refusal carries the index and term of that configuration.
VoteResponse Replica::voteRefusalFor(const MemberId &member, bool preVote) const
{
    const auto at =
        std::find_if(m_configurations.rbegin(), m_configurations.rend(), [&](const auto &it) {
            return it.at.index <= m_commitIndex;
        });
    if (at == m_configurations.rend() || at->configuration.contains(member))
        return {preVote, false};
    return {preVote, false, at->at.index, at->at.term};
}

/// Records the removal of this member if a vote response reports a committed configuration without
/// it. That configuration must be later than every one in this member's log: otherwise the sender's
/// log may lag behind, and this member may have been added since. Configurations are ordered by
/// term before index: if a configuration has a higher index but an earlier term than a committed
/// one, it was never committed.
void Replica::recordRemoval(const VoteResponse &answer, TimePoint now)
{
    const auto isAfter = [&answer](const EntryId &own) {
        return std::tie(answer.removalTerm, answer.removalIndex) > std::tie(own.term, own.index);
    };
    const bool isLater = answer.removalIndex != 0 && !m_configurations.empty()
        && isAfter(m_configurations.back().at);
    if (!isLater || m_removed || m_role == Role::Leader)
        return;
    becomeFollower(m_hardState.term, std::nullopt, now);
    m_removed = true;
}

std::optional<MembershipChange> nextMembershipStep(const Replica &replica,
                                                   const std::vector<std::string> &wanted,
                                                   const std::vector<MemberId> &joining,
                                                   TimePoint now)
{
    const Configuration &configuration = replica.configuration();
    const auto isWanted = [&](const MemberId &member) {
        return std::find(wanted.begin(), wanted.end(), member.instance) != wanted.end();
    };
    for (const MemberProgress &it : replica.progress(now)) {
        if (it.isVoter || !isWanted(it.member) || !isCaughtUp(it, replica.commitIndex()))
            continue;
        if (const MemberId *former = memberOf(configuration.voters, it.member.instance))
            return MembershipChange{MembershipStep::Remove, *former};
        return MembershipChange{MembershipStep::Promote, it.member};
    }
    for (const MemberId &it : joining) {
        if (isWanted(it) && !configuration.contains(it))
            return stepToAdd(configuration, it);
    }
    return std::nullopt;
}

AutomaticMembership automaticMembership(std::size_t losses, Duration catchUpTime,
                                        const ReplicaSettings &settings)
{
    // A successor may start when its predecessor ends, after an election. What is left is for its
    // snapshot and the steps.
    constexpr int catchUpShare = 4;
    AutomaticMembership governance;
    governance.minVoters = 2 * losses + 1;
    governance.absenceTimeout = std::max(settings.electionTimeout, catchUpTime / catchUpShare);
    return governance;
}

std::size_t toleratedLosses(const AutomaticMembership &governance)
{
    return (governance.minVoters - 1) / 2;
}

std::optional<MembershipChange> nextAutomaticStep(const Replica &replica,
                                                  const AutomaticMembership &governance,
                                                  const std::vector<MemberId> &joining,
                                                  TimePoint now)
{
    const Configuration &configuration = replica.configuration();
    const std::vector<MemberProgress> progress = replica.progress(now);
    const VoterCount count = countVoters(replica, governance, progress);
    for (const MemberProgress &it : progress) {
        if (!isReady(it, governance, replica.commitIndex()))
            continue;
        if (const MemberId *former = memberOf(configuration.voters, it.member.instance))
            return MembershipChange{MembershipStep::Remove, *former};
        if (mayPromote(count, governance))
            return MembershipChange{MembershipStep::Promote, it.member};
    }
    for (const MemberId &it : joining) {
        if (!configuration.contains(it))
            return stepToAdd(configuration, it);
    }
    const MemberProgress *longest = nullptr;
    for (const MemberProgress &it : progress) {
        if (it.member != replica.self() && isRemovalDue(it, count, governance)
            && (!longest || isGoneLonger(it, *longest)))
            longest = &it;
    }
    if (longest)
        return MembershipChange{MembershipStep::Remove, longest->member};
    return std::nullopt;
}

bool isRemovedOnLeaving(const Configuration &configuration, const MemberId &member,
                        const AutomaticMembership &governance)
{
    // Whether learners are ready is known to the leader only.
    const VoterCount count{configuration.voters.size(), 0, 1, true, configuration.learners.size()};
    return configuration.isVoter(member) && mayRemoveVoter(count, governance)
        && (isEven(count) || replacesAbsent(count, governance));
}

std::optional<MemberId> nextLeader(const Replica &replica, const AutomaticMembership &governance,
                                   TimePoint now)
{
    if (!isRemovedOnLeaving(replica.configuration(), replica.self(), governance))
        return std::nullopt;
    const std::vector<MemberProgress> progress = replica.progress(now);
    const MemberProgress *best = nullptr;
    for (const MemberProgress &it : progress) {
        const bool isAble = it.isVoter && it.member != replica.self() && !isAbsent(it, governance);
        if (isAble && (!best || it.matchIndex > best->matchIndex))
            best = &it;
    }
    return best ? std::optional(best->member) : std::nullopt;
}

} // namespace kumquathaven::consensus
