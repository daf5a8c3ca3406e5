#include "cluster.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace kumquathaven::consensus {

namespace {

constexpr std::uint64_t faultSteps = 260;
constexpr std::uint64_t recoverySteps = 4000;
constexpr std::int64_t maxStepMicroseconds = 10000;
constexpr std::uint64_t firstIndex = 1;

/// Removal timeouts of a group with automatic membership.
constexpr AutomaticMembership governance{3, std::chrono::milliseconds(400),
                                         std::chrono::milliseconds(200),
                                         std::chrono::milliseconds(100)};

GroupSettings settingsOf(const std::string &name, const std::vector<std::string> &names,
                         std::uint64_t seed, bool hasAutomaticMembership)
{
    GroupSettings settings;
    settings.instance = name;
    settings.instances = names;
    settings.seed = seed;
    settings.storageRetryDelay = std::chrono::milliseconds(30);
    settings.log = {800, 4000};
    settings.replica.heartbeat = std::chrono::milliseconds(20);
    settings.replica.electionTimeout = std::chrono::milliseconds(100);
    settings.replica.clockDriftPerMille = 50;
    settings.replica.maxAppendEntries = 4;
    settings.replica.maxInflight = 4;
    settings.replica.snapshotChunkBytes = 7;
    settings.replica.snapshotEntries = 12;
    settings.replica.trailingEntries = 4;
    settings.replica.maxPromotionLag = 2;
    settings.replica.hasAutomaticMembership = hasAutomaticMembership;
    return settings;
}

/// Returns a message after it was encoded and decoded, so that some messages test the encoding too.
Message encodeAndDecode(const Message &message)
{
    return orElse(
        [&] {
            return decodeMessage(encode(message), MessageLimits{});
        },
        [](const Error &) {
            return Message();
        });
}

} // namespace

void Coverage::add(const Coverage &other)
{
    leaders += other.leaders;
    writes += other.writes;
    reads += other.reads;
    leaseReads += other.leaseReads;
    unknownWrites += other.unknownWrites;
    powerCuts += other.powerCuts;
    kills += other.kills;
    lostDisks += other.lostDisks;
    freezes += other.freezes;
    networkPartitions += other.networkPartitions;
    storageFailures += other.storageFailures;
    transfers += other.transfers;
    membershipSteps += other.membershipSteps;
    restores += other.restores;
    takenSnapshots += other.takenSnapshots;
}

Cluster::Cluster(std::uint64_t seed, bool hasAutomaticMembership)
    : m_random(seed)
    , m_hasAutomaticMembership(hasAutomaticMembership)
{ }

Cluster::~Cluster() = default;

std::string Cluster::run()
{
    start();
    for (std::uint64_t n = 0; n < faultSteps && m_violation.empty(); ++n)
        step(true);
    runRecovery();
    if (m_violation.empty())
        checkHistories();
    return m_violation;
}

void Cluster::start()
{
    static const std::vector<std::string> names{"caerdydd-1", "abertawe-1", "casnewydd-1",
                                                "caerdydd-2", "abertawe-2"};
    const std::size_t size = chance(700) ? 3 : 5;
    const bool startsWithAllVoters = chance(800);
    for (std::size_t n = 0; n < size; ++n) {
        auto node = std::make_unique<Node>();
        node->name = names[n];
        node->identity = m_nextIdentity++;
        node->clockOffset = static_cast<std::int64_t>(1000000 + m_random.below(1000000));
        node->clockRate = static_cast<std::int64_t>(1000 + m_random.below(51));
        m_nodes.push_back(std::move(node));
    }
    Snapshot snapshot = Replica::bootstrap(m_nodes[0]->id(), Machine().save());
    if (startsWithAllVoters) {
        for (const auto &it : m_nodes)
            m_committed.voters.push_back(it->id());
        std::sort(m_committed.voters.begin(), m_committed.voters.end());
        snapshot.configuration = encode(m_committed);
    }
    m_log.resize(firstIndex + 1);
    for (const auto &it : m_nodes) {
        open(*it);
        if (!startsWithAllVoters && it != m_nodes[0])
            continue;
        it->group.reset();
        storage::Contents contents;
        const bool isInstalled = orElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(log, storage::Log::open(*it->folder, 0, {}, contents));
                BOOST_LEAF_CHECK(log.installSnapshot(snapshot));
                return true;
            },
            [](const Error &) {
                return false;
            });
        if (!isInstalled)
            recordViolation("the first snapshot can't be installed");
        it->folder.reset();
        open(*it);
    }
}

void Cluster::open(Node &node)
{
    static const std::vector<std::string> names{"caerdydd-1", "abertawe-1", "casnewydd-1",
                                                "caerdydd-2", "abertawe-2"};
    const std::string failure = orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(
                folder, storage::DataFolder::open(node.files.operations(), "/data", node.identity));
            node.folder = std::make_unique<storage::DataFolder>(std::move(folder));
            BOOST_LEAF_AUTO(
                group,
                Group::open(*node.folder,
                            settingsOf(node.name, names, m_random.next(), m_hasAutomaticMembership),
                            timeAt(node)));
            node.group = std::make_unique<Group>(std::move(group));
            return std::string();
        },
        [](const Error &error) {
            return describe(error);
        });
    node.machine = Machine();
    node.applied = 0;
    node.waiting.clear();
    node.joining.clear();
    if (!failure.empty())
        recordViolation("a member fails to start: " + failure);
}

TimePoint Cluster::timeAt(const Node &node) const
{
    return TimePoint(Duration(node.clockOffset + m_time * node.clockRate / 1000));
}

void Cluster::step(bool withFaults)
{
    m_time += static_cast<std::int64_t>(m_random.below(maxStepMicroseconds));
    if (withFaults && chance(90))
        injectFault();
    for (const auto &it : m_nodes) {
        Node &node = *it;
        if (node.diskFullFor > 0 && --node.diskFullFor == 0)
            node.files.setCapacity(0);
        if (node.downFor > 0 && --node.downFor == 0)
            open(node);
        if (node.frozenFor > 0 && --node.frozenFor == 0 && chance(500) && node.isUp())
            callOperation(node);
        if (!node.isRunning())
            continue;
        node.group->tick(timeAt(node));
        manageMembers(node);
        advance(node);
    }
    deliverMessages(withFaults);
    const bool onlyLeader = chance(700);
    for (const auto &it : m_nodes) {
        if (it->isRunning() && (it->isLeader() || !onlyLeader) && chance(250))
            callOperation(*it);
    }
}

void Cluster::deliverMessages(bool withFaults)
{
    std::vector<Message> waiting = std::exchange(m_messages, {});
    for (std::size_t n = waiting.size(); n > 1; --n) {
        if (chance(200))
            std::swap(waiting[n - 1], waiting[m_random.below(n)]);
    }
    for (Message &message : waiting) {
        const auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
            return it->name == message.to.instance;
        });
        const bool isLinkBlocked =
            m_blockedLinks.count({message.from.instance, message.to.instance}) > 0;
        if (node == m_nodes.end() || !(*node)->isUp() || isLinkBlocked
            || (withFaults && chance(30)))
            continue;
        if (!(*node)->isRunning() || chance(250)) {
            m_messages.push_back(std::move(message));
            continue;
        }
        if (withFaults && chance(30))
            m_messages.push_back(message);
        (*node)->group->receive(chance(15) ? encodeAndDecode(message) : message, timeAt(**node));
        if (chance(700))
            advance(**node);
    }
}

void Cluster::advance(Node &node)
{
    Output output = orElse(
        [&] {
            return node.group->advance(timeAt(node));
        },
        [&](const Error &) {
            ++m_coverage.storageFailures;
            return Output();
        });
    if (output.restore) {
        ++m_coverage.restores;
        node.machine.load(*output.restore->state);
        node.applied = output.restore->index;
        node.waiting.erase(node.waiting.begin(), node.waiting.upper_bound(node.applied));
    }
    for (const Entry &it : output.committed)
        apply(node, it);
    for (const ReadConfirmation &it : output.reads) {
        Call &call = m_calls[it.request];
        if (node.applied < it.index)
            recordViolation("a read was confirmed for an index that is not applied");
        call.operation.value = node.machine.registers[call.reg];
        ++m_coverage.reads;
        finish(it.request);
    }
    std::move(output.messages.begin(), output.messages.end(), std::back_inserter(m_messages));
    node.joining.insert(node.joining.end(), output.joining.begin(), output.joining.end());
    if (output.raftState && output.raftState->role == Role::Leader)
        checkLeader(node);
    if (output.snapshotDue) {
        ++m_coverage.takenSnapshots;
        node.group->saveSnapshot(node.applied, node.machine.save());
    }
}

void Cluster::apply(Node &node, const Entry &entry)
{
    if (entry.index != node.applied + 1)
        recordViolation(node.name + " applied entries with a gap");
    node.applied = entry.index;
    if (entry.index == m_log.size()) {
        m_log.push_back({entry, node.group->replica().raftState().term});
        if (entry.kind == EntryKind::Configuration) {
            m_committed = orElse(
                [&] {
                    return decodeConfiguration(entry.data);
                },
                [](const Error &) {
                    return Configuration();
                });
        }
    }
    const Entry &first = m_log[entry.index].entry;
    if (first.term != entry.term || first.kind != entry.kind || first.data != entry.data)
        recordViolation("two members applied different entries at index "
                        + std::to_string(entry.index));
    bool succeeded = false;
    if (entry.kind == EntryKind::Change)
        succeeded = node.machine.apply(entry.data);
    const auto waiting = node.waiting.find(entry.index);
    if (waiting == node.waiting.end())
        return;
    Call &call = m_calls[waiting->second.second];
    call.isRefused = waiting->second.first != entry.term;
    call.operation.succeeded = succeeded;
    ++m_coverage.writes;
    finish(waiting->second.second);
    node.waiting.erase(waiting);
}

void Cluster::checkLeader(const Node &node)
{
    const Replica &replica = node.group->replica();
    const RaftState raftState = replica.raftState();
    if (raftState.role != Role::Leader)
        return;
    ++m_coverage.leaders;
    const auto known = m_leaders.emplace(raftState.term, node.id()).first;
    if (known->second != node.id())
        recordViolation("two leaders in term " + std::to_string(raftState.term));
    for (std::uint64_t n = firstIndex + 1; n < m_log.size(); ++n) {
        if (m_log[n].appliedInTerm >= raftState.term)
            continue;
        const auto term = replica.termAt(n);
        if (n > replica.lastIndex() || (term && *term != m_log[n].entry.term))
            recordViolation("a leader lacks the committed entry " + std::to_string(n));
    }
}

void Cluster::manageMembers(Node &node)
{
    if (!node.isLeader() || !chance(300))
        return;
    std::vector<std::string> wanted;
    for (const auto &it : m_nodes) {
        if (it->name != m_memberToRemove)
            wanted.push_back(it->name);
        // Models an operator who admits a member again that was removed before.
        if (!m_hasAutomaticMembership && !m_committed.contains(it->id()) && it->isUp()
            && chance(100))
            node.joining.push_back(it->id());
    }
    auto step = m_hasAutomaticMembership
        ? nextAutomaticStep(node.group->replica(), governance, node.joining, timeAt(node))
        : nextMembershipStep(node.group->replica(), wanted, node.joining, timeAt(node));
    const Configuration &present = node.group->replica().configuration();
    for (const MemberId &it : present.voters) {
        if (!step && it.instance == m_memberToRemove)
            step = MembershipChange{MembershipStep::Remove, it};
    }
    if (!step)
        return;
    const bool isAccepted = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(node.group->changeMembers(*step, timeAt(node)));
            return true;
        },
        [](const Error &) {
            return false;
        });
    m_coverage.membershipSteps += isAccepted ? 1 : 0;
    node.joining.clear();
}

// Once faults cease, every member must become a voter again and the group must serve writes.
void Cluster::runRecovery()
{
    m_blockedLinks.clear();
    m_memberToRemove.clear();
    for (const auto &it : m_nodes) {
        it->frozenFor = 0;
        it->downFor = it->isUp() ? 0 : 1;
        it->diskFullFor = it->isUp() ? 1 : 0;
        it->files.failOnce(0, 0);
    }
    const std::uint64_t written = m_coverage.writes;
    for (std::uint64_t n = 0; n < recoverySteps && m_violation.empty(); ++n) {
        step(false);
        if (n > 20 && hasRecovered() && m_coverage.writes > written)
            return;
    }
    recordViolation("the group does not recover without faults" + describeMembers());
}

std::string Cluster::describeMembers() const
{
    std::ostringstream out;
    for (const auto &it : m_nodes) {
        out << "; " << it->name << "/" << it->identity;
        if (!it->isUp())
            continue;
        const Replica &replica = it->group->replica();
        out << " " << roleName(replica.raftState().role) << " term " << replica.raftState().term
            << " last " << replica.lastIndex() << " commit " << replica.commitIndex() << " applied "
            << it->applied << (it->group->isStorageDown() ? " down" : "") << " voters";
        for (const MemberId &voter : replica.configuration().voters)
            out << " " << voter.instance << "/" << voter.identity;
        out << " learners";
        for (const MemberId &learner : replica.configuration().learners)
            out << " " << learner.instance << "/" << learner.identity;
    }
    return out.str();
}

bool Cluster::hasRecovered() const
{
    const auto first = std::find_if(m_nodes.begin(), m_nodes.end(), [](const auto &it) {
        return it->isLeader();
    });
    if (first == m_nodes.end())
        return false;
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
        return (*first)->group->replica().configuration().isVoter(it->id())
            && it->applied + 4 > m_log.size() && it->group->replica().raftState().leader;
    });
}

void Cluster::recordViolation(const std::string &what)
{
    if (m_violation.empty())
        m_violation = what;
}

} // namespace kumquathaven::consensus
