#include "kumquathaven/consensus/group.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace kumquathaven::consensus {

namespace {

template <typename T>
void moveAppend(std::vector<T> &to, std::vector<T> &&from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

bool needsSave(const Effects &effects)
{
    return effects.hardState || effects.receivedSnapshot || effects.localSnapshot
        || !effects.entries.empty();
}

} // namespace

Group::Group(storage::DataFolder &folder, const GroupSettings &settings, storage::Log log)
    : m_folder(&folder)
    , m_settings(settings)
    , m_log(std::move(log))
{ }

Result<Group> Group::open(storage::DataFolder &folder, const GroupSettings &settings, TimePoint now)
{
    storage::Contents contents;
    BOOST_LEAF_AUTO(log, storage::Log::open(folder, settings.group, settings.log, contents));
    Group group(folder, settings, std::move(log));
    group.m_tornBytes = contents.tornBytes;
    group.startReplica(std::move(contents), now);
    return group;
}

void Group::startReplica(storage::Contents contents, TimePoint now)
{
    // The state machine keeps its state unless the stored snapshot is ahead of it.
    if (contents.snapshot.state && contents.snapshot.index > m_applied) {
        m_output.restore = contents.snapshot;
        m_output.committed.clear();
        m_applied = contents.snapshot.index;
    }
    ReplicaStart start;
    start.group = m_settings.group;
    start.self = {m_settings.instance, m_folder->identity()};
    start.instances = m_settings.instances;
    start.contents = std::move(contents);
    start.applied = m_applied;
    start.seed = m_settings.seed + m_startCount++;
    m_replica = std::make_unique<Replica>(m_settings.replica, std::move(start), now);
    if (m_isLeaving)
        m_replica->announceLeaving();
}

Result<void> Group::bootstrap(std::string state, TimePoint now)
{
    const bool isNew = m_replica->configuration().isEmpty() && m_replica->lastIndex() == 0
        && m_replica->raftState().term == 0;
    if (!isNew) {
        return fail({ErrorCode::Conflict,
                     "consensus.bootstrap",
                     m_settings.instance,
                     "this member already belongs to a group",
                     Outcome::NotRun,
                     {}});
    }
    BOOST_LEAF_CHECK(
        m_log.installSnapshot(Replica::bootstrap(m_replica->self(), std::move(state))));
    storage::Contents contents;
    BOOST_LEAF_CHECK(m_log.reload(contents));
    startReplica(std::move(contents), now);
    return {};
}

void Group::tick(TimePoint now)
{
    if (!isStorageDown())
        m_replica->tick(now);
}

void Group::receive(const Message &message, TimePoint now)
{
    if (!isStorageDown())
        m_replica->receive(message, now);
}

Result<EntryId> Group::propose(std::string data, TimePoint now)
{
    if (isStorageDown())
        return failStorageDown("consensus.propose");
    return m_replica->propose(std::move(data), now);
}

Result<void> Group::readIndex(std::uint64_t request, TimePoint now)
{
    if (isStorageDown())
        return failStorageDown("consensus.readIndex");
    return m_replica->readIndex(request, now);
}

Result<EntryId> Group::changeMembers(const MembershipChange &change, TimePoint now)
{
    if (isStorageDown())
        return failStorageDown("consensus.changeMembers");
    return m_replica->changeMembers(change, now);
}

Result<void> Group::transferLeadership(const MemberId &target, TimePoint now)
{
    if (isStorageDown())
        return failStorageDown("consensus.transferLeadership");
    return m_replica->transferLeadership(target, now);
}

void Group::announceLeaving()
{
    m_isLeaving = true;
    m_replica->announceLeaving();
}

boost::leaf::error_id Group::failStorageDown(const char *step) const
{
    return fail({ErrorCode::Unavailable, step, m_settings.instance,
                 "the storage of this member is down", Outcome::NotRun,
                 m_settings.storageRetryDelay});
}

Result<Output> Group::advance(TimePoint now)
{
    if (isStorageDown() && now >= *m_storageDownUntil)
        BOOST_LEAF_CHECK(recover(now));
    if (!isStorageDown())
        BOOST_LEAF_CHECK(saveAll(now));
    return std::exchange(m_output, {});
}

// Making effects durable can produce further effects: an only voter, for example, commits an entry
// once it is durable.
Result<void> Group::saveAll(TimePoint now)
{
    bool isDone = false;
    while (!isDone) {
        Effects effects = m_replica->drain(now);
        isDone = !needsSave(effects);
        auto saved = save(effects);
        if (!saved) {
            stopAfterFailure(std::move(effects), now);
            return saved;
        }
        const EntryId last = effects.lastEntry;
        addToOutput(std::move(effects));
        if (!isDone)
            m_replica->markDurable(last, now);
    }
    return {};
}

Result<void> Group::save(const Effects &effects)
{
    if (effects.receivedSnapshot)
        BOOST_LEAF_CHECK(m_log.installSnapshot(*effects.receivedSnapshot));
    storage::Batch batch;
    batch.hardState = effects.hardState ? &*effects.hardState : nullptr;
    batch.entries = &effects.entries;
    BOOST_LEAF_CHECK(m_log.write(batch));
    if (effects.localSnapshot)
        BOOST_LEAF_CHECK(m_log.saveSnapshot(*effects.localSnapshot));
    return {};
}

// Adds durable effects to the output.
void Group::addToOutput(Effects &&effects)
{
    if (effects.receivedSnapshot) {
        m_applied = effects.receivedSnapshot->index;
        m_output.restore = std::move(effects.receivedSnapshot);
        m_output.committed.clear();
    }
    if (!effects.committed.empty())
        m_applied = effects.committed.back().index;
    moveAppend(m_output.committed, std::move(effects.committed));
    moveAppend(m_output.reads, std::move(effects.reads));
    moveAppend(m_output.refusedReads, std::move(effects.refusedReads));
    moveAppend(m_output.messages, std::move(effects.messages));
    moveAppend(m_output.joining, std::move(effects.joining));
    if (effects.raftState)
        m_output.raftState = std::move(effects.raftState);
    m_output.snapshotDue = m_output.snapshotDue || effects.snapshotDue;
}

// The replica's state is ahead of the storage, and its last effects are lost. It must not respond
// to any message or read from now on.
void Group::stopAfterFailure(Effects &&effects, TimePoint now)
{
    m_storageDownUntil = now + m_settings.storageRetryDelay;
    moveAppend(m_output.refusedReads, std::move(effects.refusedReads));
    for (const ReadConfirmation &it : effects.reads)
        m_output.refusedReads.push_back({it.request, {}});
    moveAppend(m_output.refusedReads, m_replica->stepDown(now));
    m_output.raftState = m_replica->raftState();
}

bool Group::mayRead(TimePoint now) const
{
    const bool isOutputDrained = !m_output.restore && m_output.committed.empty();
    return !isStorageDown() && isOutputDrained && m_replica->mayRead(now);
}

Result<void> Group::recover(TimePoint now)
{
    storage::Contents contents;
    auto reloaded = m_log.reload(contents);
    if (!reloaded) {
        m_storageDownUntil = now + m_settings.storageRetryDelay;
        return reloaded;
    }
    m_storageDownUntil.reset();
    startReplica(std::move(contents), now);
    return {};
}

void Group::saveSnapshot(std::uint64_t index, std::string state)
{
    if (!isStorageDown())
        m_replica->adoptSnapshot(index, std::move(state));
}

} // namespace kumquathaven::consensus
