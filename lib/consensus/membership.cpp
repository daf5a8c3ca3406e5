// Membership changes of a group, one step at a time: joining, validation of steps, and removal.

#include "kumquathaven/consensus/group.h"
#include "kumquathaven/consensus/replica.h"

#include "kumquathaven/base/enumnames.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

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
        for (const MemberId &voter : configuration.voters) {
            if (voter.instance == it.member.instance)
                return MembershipChange{MembershipStep::Remove, voter};
        }
        return MembershipChange{MembershipStep::Promote, it.member};
    }
    for (const MemberId &it : joining) {
        if (!isWanted(it) || configuration.contains(it))
            continue;
        for (const MemberId &learner : configuration.learners) {
            if (learner.instance == it.instance)
                return MembershipChange{MembershipStep::Remove, learner};
        }
        return MembershipChange{MembershipStep::AddLearner, it};
    }
    return std::nullopt;
}

std::optional<MembershipChange> nextAutomaticStep(const Replica &replica,
                                                  const AutomaticMembership &governance,
                                                  const std::vector<MemberId> &joining,
                                                  TimePoint now)
{
    const Configuration &configuration = replica.configuration();
    std::vector<std::string> wanted;
    for (const auto *list : {&configuration.voters, &configuration.learners, &joining}) {
        for (const MemberId &it : *list)
            wanted.push_back(it.instance);
    }
    if (auto step = nextMembershipStep(replica, wanted, joining, now))
        return step;
    const std::vector<MemberProgress> progress = replica.progress(now);
    const bool isEven = configuration.voters.size() % 2 == 0;
    const Duration timeout = isEven ? governance.evenRemovalTimeout : governance.removalTimeout;
    const auto isUnresponsive = [&](const MemberProgress &it) {
        return it.member != replica.self() && it.timeSinceResponse > timeout;
    };
    for (const MemberProgress &it : progress) {
        const bool isRemovable = !it.isVoter || configuration.voters.size() > governance.minVoters;
        if (isUnresponsive(it) && isRemovable)
            return MembershipChange{MembershipStep::Remove, it.member};
    }
    return std::nullopt;
}

} // namespace kumquathaven::consensus
