// Transfer of snapshots to members that need entries which the leader no longer has in memory.

#include "kumquathaven/consensus/replica.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::consensus {

void Replica::sendSnapshotChunk(const MemberId &to, Progress &progress)
{
    if (progress.snapshot.index == 0) {
        progress.snapshot = m_snapshot;
        progress.snapshotOffset = 0;
    }
    const Snapshot &snapshot = progress.snapshot;
    SnapshotRequest body;
    body.index = snapshot.index;
    body.term = snapshot.term;
    body.configuration = snapshot.configuration;
    body.totalBytes = snapshot.state->size();
    body.offset = progress.snapshotOffset;
    body.round = m_round;
    body.chunk = snapshot.state->substr(body.offset, m_settings.snapshotChunkBytes);
    progress.chunkRound = m_round;
    progress.ready = false;
    send(to, m_hardState.term, std::move(body));
}

void Replica::handle(const Message &message, const SnapshotRequest &body, TimePoint now)
{
    if (m_role == Role::Leader || body.totalBytes > m_settings.maxSnapshotBytes
        || !isConfiguration(body.configuration))
        return;
    recordLeaderContact(message.from, now);
    SnapshotResponse answer{body.index, body.totalBytes, body.round};
    if (body.index > m_commitIndex) {
        if (termAt(body.index) == body.term)
            setCommit(body.index);
        else if (appendChunk(body))
            install(body);
        else
            answer.nextOffset = m_incoming.state.size();
    }
    send(message.from, m_hardState.term, answer);
}

/// Appends a chunk to the incoming snapshot and returns whether the snapshot is complete. A chunk
/// that does not start where the last one ended is dropped; the response then carries the expected
/// offset.
bool Replica::appendChunk(const SnapshotRequest &body)
{
    if (m_incoming.index != body.index || m_incoming.term != body.term)
        m_incoming = {body.index, body.term, {}};
    const bool fits = body.offset == m_incoming.state.size()
        && body.chunk.size() <= body.totalBytes - body.offset;
    if (!fits)
        return false;
    m_incoming.state += body.chunk;
    return m_incoming.state.size() == body.totalBytes;
}

// The log lacks the last entry that the snapshot covers, so that none of its entries after the
// commit index was ever committed. All entries can therefore be dropped.
void Replica::install(const SnapshotRequest &body)
{
    m_snapshot.index = body.index;
    m_snapshot.term = body.term;
    m_snapshot.configuration = body.configuration;
    m_snapshot.state = std::make_shared<const std::string>(std::move(m_incoming.state));
    m_incoming = {};
    m_effects.receivedSnapshot = m_snapshot;
    m_effects.localSnapshot.reset();
    m_entries.clear();
    m_entryBytes = 0;
    m_appliedBytes = 0;
    m_firstIndex = body.index + 1;
    m_baseTerm = body.term;
    m_commitIndex = body.index;
    m_applied = body.index;
    m_durableIndex = body.index;
    m_firstUnsavedIndex = 0;
    m_configurations = {{{body.index, body.term}, configurationFrom(body.configuration)}};
    applyConfiguration();
}

void Replica::handle(const Message &message, const SnapshotResponse &body, TimePoint now)
{
    Progress *progress = recordResponse(message.from, body.round, now);
    if (!progress || progress->sendMode != SendMode::Snapshot
        || progress->snapshot.index != body.index || progress->snapshot.index == 0)
        return;
    if (body.nextOffset == progress->snapshot.state->size()) {
        progress->match = std::max(progress->match, body.index);
        progress->next = progress->match + 1;
        progress->sendMode = SendMode::Probe;
        progress->snapshot = {};
        progress->ready = true;
        advanceCommit(now);
        return;
    }
    const bool isNewOffset = body.round >= progress->chunkRound
        && body.nextOffset != progress->snapshotOffset
        && body.nextOffset < progress->snapshot.state->size();
    if (!isNewOffset)
        return;
    progress->snapshotOffset = body.nextOffset;
    progress->ready = true;
}

} // namespace kumquathaven::consensus
