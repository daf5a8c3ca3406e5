// Timing, limits and initial state of a replica of a log group.

#ifndef KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H
#define KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/storage/log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::consensus {

/// Timing and limits of a group. All members of a group must use the same values.
struct ReplicaSettings
{
    /// Interval between heartbeat rounds of the leader.
    Duration heartbeat = std::chrono::milliseconds(200);
    /// A member that a leader contacted within this time does not vote for another candidate. Each
    /// actual timeout is drawn at random between this value and twice this value.
    Duration electionTimeout = std::chrono::milliseconds(1000);
    /// Upper bound on how much faster one member's clock runs than another's, in thousandths.
    std::uint32_t clockDriftPerMille = 50;
    /// Maximum bytes of entries in one message; a larger entry is sent alone.
    std::size_t maxAppendBytes = std::size_t{256} * 1024;
    std::size_t maxAppendEntries = 512;
    /// Maximum number of messages with entries in flight to one member.
    std::size_t maxInflight = 16;
    /// Maximum bytes of entries in flight to one member; a larger entry is in flight alone.
    std::size_t maxInflightBytes = std::size_t{2} * 1024 * 1024;
    /// Maximum bytes of one proposal.
    std::size_t maxProposalBytes = std::size_t{1024} * 1024;
    /// Maximum total bytes of proposals that are not committed yet.
    std::size_t maxUncommittedBytes = std::size_t{8} * 1024 * 1024;
    /// Bytes of one chunk of a snapshot.
    std::size_t snapshotChunkBytes = std::size_t{256} * 1024;
    /// Maximum bytes of a snapshot that is accepted from a leader.
    std::size_t maxSnapshotBytes = std::size_t{256} * 1024 * 1024;
    /// Number of applied entries after which a snapshot is due.
    std::uint64_t snapshotEntries = 4096;
    /// Bytes of applied entries after which a snapshot is due, or the size of the last snapshot if
    /// that is larger. The log and the time to replay it thus depend on the size of the state and
    /// not on the number of changes, and at most half of all bytes written are snapshots.
    std::size_t snapshotBytes = std::size_t{8} * 1024 * 1024;
    /// Maximum number and bytes of entries before a snapshot that stay in memory, so that members
    /// that lag slightly receive entries instead of the snapshot.
    std::uint64_t trailingEntries = 1024;
    std::size_t trailingBytes = std::size_t{2} * 1024 * 1024;
    /// Maximum bytes of committed entries that one drain returns; a larger entry is returned alone.
    /// A long log is applied, and replaced by snapshots, in parts of this size.
    std::size_t maxCommittedBytes = std::size_t{4} * 1024 * 1024;
    /// Maximum number of entries by which a learner may lag and still be promoted.
    std::uint64_t maxPromotionLag = 16;
    std::size_t maxPendingReads = 4096;
    /// Whether the group adds and removes members without an operator. A removed member then asks
    /// to join again, and a member that is not the leader forwards such a request to the leader if
    /// it knows one.
    bool hasAutomaticMembership = false;
};

/// Initial state of a replica.
struct ReplicaStart
{
    std::uint32_t group = 0;
    MemberId self;
    /// Names of the instances that join requests are sent to, besides the known voters.
    std::vector<std::string> instances;
    /// Contents of the storage.
    storage::Contents contents;
    /// Index of the last entry applied to the state machine if it kept running; then at least the
    /// index of the snapshot.
    std::uint64_t applied = 0;
    /// Seed for election timeouts.
    std::uint64_t seed = 0;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H
