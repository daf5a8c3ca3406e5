// Replication of log entries from the leader, heartbeat rounds, and the commit index.

#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace kumquathaven::consensus {

void Replica::startRound(TimePoint now)
{
    ++m_round;
    m_rounds.push_back({m_round, now});
    m_needsReadRound = false;
    for (auto &it : m_progress) {
        if (it.second.sendMode != SendMode::Snapshot)
            sendAppend(it.first, it.second, false);
    }
    confirmReads();
}

void Replica::sendHeartbeats(TimePoint now)
{
    m_nextHeartbeat = now + m_settings.heartbeat;
    // Allows the retransmission of a probe or snapshot chunk whose response was lost.
    for (auto &it : m_progress)
        it.second.ready = true;
    startRound(now);
}

void Replica::sendPending(TimePoint now)
{
    for (auto &it : m_progress)
        sendAppends(it.first, it.second, now);
}

// A member that does not respond gets no entries, since each repeated probe would add its entries
// to the queue of the link. Its response to a heartbeat ends the probe instead.
void Replica::sendAppends(const MemberId &to, Progress &progress, TimePoint now)
{
    if (progress.sendMode == SendMode::Probe && progress.ready && progress.next <= lastIndex()
        && isResponsive(to, now))
        sendAppend(to, progress, true);
    while (progress.sendMode == SendMode::Stream && progress.next <= lastIndex()
           && hasRoomInFlight(progress))
        sendAppend(to, progress, true);
    if (progress.sendMode == SendMode::Stream && progress.sentCommit < m_commitIndex)
        sendAppend(to, progress, false);
    if (progress.sendMode == SendMode::Snapshot && progress.ready)
        sendSnapshotChunk(to, progress);
}

bool Replica::hasRoomInFlight(const Progress &progress) const
{
    const Entry *next = entryAt(progress.next);
    // Without the entry, sendAppend() changes to the snapshot.
    if (!next || progress.inflight.empty())
        return true;
    const std::size_t nextBytes = next->data.size();
    return progress.inflight.size() < m_settings.maxInflight
        && progress.inflightBytes + std::max(nextBytes, m_settings.maxAppendBytes)
        <= m_settings.maxInflightBytes;
}

void Replica::sendAppend(const MemberId &to, Progress &progress, bool withEntries)
{
    const auto previousTerm = termAt(progress.next - 1);
    if (!previousTerm) {
        progress.sendMode = SendMode::Snapshot;
        progress.snapshot = {};
        progress.ready = true;
        return;
    }
    AppendRequest body;
    body.previousIndex = progress.next - 1;
    body.previousTerm = *previousTerm;
    body.commitIndex = m_commitIndex;
    body.round = m_round;
    progress.sentCommit = m_commitIndex;
    std::size_t size = 0;
    for (std::uint64_t n = progress.next; withEntries && n <= lastIndex(); ++n) {
        const Entry &entry = *entryAt(n);
        const bool isFull = size + entry.data.size() > m_settings.maxAppendBytes
            || body.entries.size() == m_settings.maxAppendEntries;
        if (isFull && !body.entries.empty())
            break;
        size += entry.data.size();
        body.entries.push_back(entry);
    }
    if (progress.sendMode == SendMode::Probe)
        progress.ready = progress.ready && !withEntries;
    if (progress.sendMode == SendMode::Stream && !body.entries.empty()) {
        progress.next += body.entries.size();
        progress.inflight.push_back({progress.next - 1, size});
        progress.inflightBytes += size;
    }
    send(to, m_hardState.term, std::move(body));
}

void Replica::reconcileProgress()
{
    for (auto it = m_progress.begin(); it != m_progress.end();)
        it = m_configuration.contains(it->first) ? std::next(it) : m_progress.erase(it);
    const auto add = [this](const MemberId &member) {
        if (member == m_self || m_progress.count(member) > 0)
            return;
        Progress progress;
        progress.next = lastIndex() + 1;
        m_progress[member] = std::move(progress);
    };
    std::for_each(m_configuration.voters.begin(), m_configuration.voters.end(), add);
    std::for_each(m_configuration.learners.begin(), m_configuration.learners.end(), add);
}

// Only an entry of the current term is committed by counting replicas: an entry of an earlier term
// can still be replaced even if a majority stores it.
void Replica::advanceCommit(TimePoint now)
{
    std::vector<std::uint64_t> durable;
    for (const MemberId &it : m_configuration.voters) {
        if (it == m_self)
            durable.push_back(m_durableIndex);
        else
            durable.push_back(m_progress.at(it).match);
    }
    std::sort(durable.begin(), durable.end(), std::greater<>());
    const std::uint64_t index = durable[quorumOf(m_configuration) - 1];
    if (index <= m_commitIndex || termAt(index) != m_hardState.term)
        return;
    setCommit(index);
    stepDownIfRemoved(now);
}

// Steps down once a majority no longer responds, since that majority may have elected another
// leader without this one knowing.
void Replica::checkQuorum(TimePoint now)
{
    const auto responsive = std::count_if(m_configuration.voters.begin(),
                                          m_configuration.voters.end(), [&](const MemberId &it) {
                                              return isResponsive(it, now);
                                          });
    if (static_cast<std::size_t>(responsive) < quorumOf(m_configuration))
        becomeFollower(m_hardState.term, std::nullopt, now);
}

bool Replica::isResponsive(const MemberId &member, TimePoint now) const
{
    if (member == m_self)
        return true;
    const auto it = m_progress.find(member);
    return it != m_progress.end() && now - it->second.lastResponseAt < m_settings.electionTimeout;
}

bool Replica::isWellFormed(const Message &message, const AppendRequest &body) const
{
    std::uint64_t index = body.previousIndex;
    std::uint64_t term = body.previousTerm;
    for (const Entry &it : body.entries) {
        if (it.index != ++index || it.term < term || it.term > message.term)
            return false;
        term = it.term;
        if (it.kind == EntryKind::Configuration && !isConfiguration(it.data))
            return false;
    }
    return true;
}

void Replica::handle(const Message &message, const AppendRequest &body, TimePoint now)
{
    if (m_role == Role::Leader || !isWellFormed(message, body))
        return;
    recordLeaderContact(message.from, now);
    AppendResponse answer = applyAppend(body);
    answer.round = body.round;
    answer.leaving = m_isLeaving;
    send(message.from, m_hardState.term, answer);
}

AppendResponse Replica::applyAppend(const AppendRequest &body)
{
    if (body.previousIndex < m_commitIndex)
        return {true, m_commitIndex, 0};
    if (termAt(body.previousIndex) != body.previousTerm)
        return {false, conflictHint(body.previousIndex), 0};
    appendEntries(body);
    const std::uint64_t last = body.previousIndex + body.entries.size();
    setCommit(std::min(body.commitIndex, last));
    return {true, last, 0};
}

// Skips all entries of the conflicting term, so that the leader needs one probe per term instead of
// one per entry.
std::uint64_t Replica::conflictHint(std::uint64_t index) const
{
    if (index > lastIndex())
        return lastIndex();
    const auto term = termAt(index);
    while (index > m_commitIndex && termAt(index) == term)
        --index;
    return index;
}

void Replica::appendEntries(const AppendRequest &body)
{
    for (const Entry &it : body.entries) {
        const auto term = termAt(it.index);
        if (term == it.term)
            continue;
        if (term)
            truncateFrom(it.index);
        append(it);
    }
}

Replica::Progress *Replica::recordResponse(const MemberId &from, std::uint64_t round, TimePoint now)
{
    const auto it = m_progress.find(from);
    if (m_role != Role::Leader || it == m_progress.end())
        return nullptr;
    it->second.lastResponseAt = now;
    if (round <= m_round)
        it->second.ackedRound = std::max(it->second.ackedRound, round);
    confirmReads();
    return &it->second;
}

void Replica::handle(const Message &message, const AppendResponse &body, TimePoint now)
{
    Progress *progress = recordResponse(message.from, body.round, now);
    if (!progress)
        return;
    progress->isLeaving = body.leaving;
    if (body.accepted) {
        progress->match = std::max(progress->match, std::min(body.index, lastIndex()));
        progress->next = std::max(progress->next, progress->match + 1);
        while (!progress->inflight.empty()
               && progress->inflight.front().lastIndex <= progress->match) {
            progress->inflightBytes -= progress->inflight.front().bytes;
            progress->inflight.pop_front();
        }
        if (progress->sendMode == SendMode::Probe
            || (progress->sendMode == SendMode::Snapshot
                && progress->match >= progress->snapshot.index))
            progress->sendMode = SendMode::Stream;
        advanceCommit(now);
        return;
    }
    if (progress->sendMode == SendMode::Snapshot)
        return;
    // The hint may precede the match index, since it skips a whole term.
    progress->next = std::max(progress->match + 1, std::min(progress->next, body.index + 1));
    progress->sendMode = SendMode::Probe;
    progress->ready = true;
    progress->inflight.clear();
    progress->inflightBytes = 0;
}

std::vector<MemberProgress> Replica::progress(TimePoint now) const
{
    std::vector<MemberProgress> result;
    if (m_role != Role::Leader)
        return result;
    if (m_configuration.contains(m_self))
        result.push_back(
            {m_self, m_configuration.isVoter(m_self), m_durableIndex, {}, false, m_isLeaving});
    for (const auto &it : m_progress) {
        // A member that was just added has not had time to respond.
        const Duration timeSinceResponse =
            it.second.lastResponseAt == TimePoint{} ? Duration(0) : now - it.second.lastResponseAt;
        result.push_back({it.first, m_configuration.isVoter(it.first), it.second.match,
                          timeSinceResponse, it.second.sendMode == SendMode::Snapshot,
                          it.second.isLeaving});
    }
    return result;
}

} // namespace kumquathaven::consensus
