// Bootstraps a log group and changes its members.

#include "commanderrors.h"
#include "logduty.h"

#include "kumquathaven/telemetry/log.h"

#include <iterator>

namespace kumquathaven::control {

namespace {

constexpr Duration bootstrapInterval = std::chrono::milliseconds(200);
constexpr Duration membershipInterval = std::chrono::milliseconds(100);

} // namespace

void LogDuty::handle(MembershipStatus &event, TimePoint)
{
    if (event.belongs)
        m_mayBootstrap = false;
    else
        m_nonMembers.insert(event.instance);
}

void LogDuty::handle(Admit &event, TimePoint)
{
    const consensus::RaftState raftState = m_group->replica().raftState();
    if (raftState.role != consensus::Role::Leader) {
        event.done(
            {notLeader("members.admit", raftState.leader ? raftState.leader->instance : ""), {}});
        return;
    }
    m_admitted.insert(event.instance);
    event.done({std::nullopt, {}});
}

void LogDuty::handle(Remove &event, TimePoint now)
{
    attemptOr(event.done, [&]() -> Result<void> {
        const consensus::Configuration &present = m_group->replica().configuration();
        consensus::MembershipChange change{consensus::MembershipStep::Remove, {}};
        for (const auto *list : {&present.voters, &present.learners}) {
            for (const consensus::MemberId &it : *list) {
                if (it.instance == event.instance)
                    change.member = it;
            }
        }
        BOOST_LEAF_AUTO(entry, m_group->changeMembers(change, now));
        m_pending.add(entry, now, event.done);
        m_admitted.erase(event.instance);
        m_joining.erase(event.instance);
        return {};
    });
}

void LogDuty::handle(Leave &, TimePoint)
{
    m_isLeaving = true;
    m_group->announceLeaving();
}

/// Hands the leadership to a member that can remove this one.
void LogDuty::handOver(TimePoint now)
{
    const auto target =
        consensus::nextLeader(m_group->replica(), *m_settings.automaticMembership, now);
    if (!target)
        return;
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_group->transferLeadership(*target, now));
            telemetry::logLine(
                telemetry::LogLevel::Info, "log", "leadership handed over",
                {{"group", std::to_string(m_settings.group.group)}, {"to", target->instance}});
            return {};
        },
        [](const Error &) {
            // Its log lags behind; a later pass tries again.
        });
}

/// Bootstraps the group once every other instance has replied that it does not belong to the group.
/// An instance that lost its disk gets a reply from an instance that belongs to the group, and so
/// never bootstraps a second group.
void LogDuty::tryBootstrap(TimePoint now)
{
    if (!m_settings.mayBootstrap || !m_mayBootstrap || now < m_nextBootstrapAt)
        return;
    m_nextBootstrapAt = now + bootstrapInterval;
    if (!m_group->replica().configuration().isEmpty()) {
        m_mayBootstrap = false;
        return;
    }
    bool isReady = true;
    for (const std::string &it : m_settings.group.instances) {
        if (it == m_settings.group.instance || m_nonMembers.count(it) > 0)
            continue;
        isReady = false;
        m_links.queryMembership(it);
    }
    if (!isReady)
        return;
    m_mayBootstrap = false;
    orElse(
        [&] {
            return m_group->bootstrap(m_machine.save(), now);
        },
        [](const Error &error) {
            throw std::runtime_error("bootstrap of the log group failed: " + describe(error));
        });
}

/// Proposes the next membership step. An instance with new storage, whose former storage is still a
/// member, is added only after an operator has declared the former storage lost.
void LogDuty::changeMembers(TimePoint now)
{
    if (now < m_nextMembership)
        return;
    m_nextMembership = now + membershipInterval;
    const consensus::Replica &replica = m_group->replica();
    if (replica.raftState().role != consensus::Role::Leader)
        return;
    if (m_settings.automaticMembership) {
        changeMembersAutomatically(now);
        return;
    }
    std::set<std::string> present;
    const consensus::Configuration &configuration = replica.configuration();
    for (const auto *list : {&configuration.voters, &configuration.learners}) {
        for (const consensus::MemberId &it : *list)
            present.insert(it.instance);
    }
    std::vector<consensus::MemberId> joining;
    for (const auto &it : m_joining) {
        if (configuration.contains(it.second))
            continue;
        if (present.count(it.first) == 0 || m_admitted.count(it.first) > 0)
            joining.push_back(it.second);
    }
    const auto step =
        consensus::nextMembershipStep(replica, m_settings.group.instances, joining, now);
    if (step)
        proposeStep(*step, now);
}

/// Proposes the next membership step of a group with automatic membership, whose members are the
/// instances that ask to join and that respond.
void LogDuty::changeMembersAutomatically(TimePoint now)
{
    if (m_isLeaving) {
        handOver(now);
        return;
    }
    const consensus::Replica &replica = m_group->replica();
    std::vector<consensus::MemberId> joining;
    for (auto it = m_joining.begin(); it != m_joining.end();) {
        const bool isIn = replica.configuration().contains(it->second);
        if (!isIn)
            joining.push_back(it->second);
        it = isIn ? m_joining.erase(it) : std::next(it);
    }
    const auto step =
        consensus::nextAutomaticStep(replica, *m_settings.automaticMembership, joining, now);
    if (!step)
        return;
    if (proposeStep(*step, now))
        telemetry::logLine(telemetry::LogLevel::Info, "log", "membership step",
                           {{"group", std::to_string(m_settings.group.group)},
                            {"step", std::string(consensus::membershipStepName(step->step))},
                            {"member", step->member.instance},
                            {"identity", std::to_string(step->member.identity)},
                            {"voters", std::to_string(replica.configuration().voters.size())}});
}

bool LogDuty::proposeStep(const consensus::MembershipChange &step, TimePoint now)
{
    return orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_group->changeMembers(step, now));
            // A join request is used for one step; an instance that is still running sends
            // another.
            if (step.step == consensus::MembershipStep::AddLearner)
                m_joining.erase(step.member.instance);
            return true;
        },
        [](const Error &) {
            // An earlier step may still be in progress; a later pass tries again.
            return false;
        });
}

} // namespace kumquathaven::control
