// Times, bounds and stored contents that a replica of a log group starts with.

#ifndef KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H
#define KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/storage/log.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquathaven::consensus {

/// Times and bounds of a group. All members of a group must have the same.
struct ReplicaSettings
{
    Duration heartbeat = std::chrono::milliseconds(200);
    /// A member that heard from a leader within this time votes for nobody else. Each election
    /// timeout is drawn between this time and its double.
    Duration electionTimeout = std::chrono::milliseconds(1000);
    /// Bound on how much faster one member's clock runs than another's, in thousandths.
    std::uint32_t clockDriftPerMille = 50;
    /// Bytes of entries in one message; a larger entry travels alone.
    std::size_t maxAppendBytes = std::size_t{256} * 1024;
    std::size_t maxAppendEntries = 512;
    /// Messages with entries on their way to one member.
    std::size_t maxInflight = 16;
    /// Bytes of one proposal.
    std::size_t maxProposalBytes = std::size_t{1024} * 1024;
    /// Bytes of proposals that are not committed yet.
    std::size_t maxUncommittedBytes = std::size_t{8} * 1024 * 1024;
    std::size_t snapshotChunkBytes = std::size_t{256} * 1024;
    std::size_t maxSnapshotBytes = std::size_t{256} * 1024 * 1024;
    /// A snapshot is wanted after this many applied entries.
    std::uint64_t snapshotEntries = 4096;
    /// Entries kept in memory behind a snapshot for members that are a little behind.
    std::uint64_t trailingEntries = 1024;
    /// A learner this many entries behind may be promoted.
    std::uint64_t maxPromotionLag = 16;
    std::size_t maxPendingReads = 4096;
    /// The group adds and removes members without an operator: a removed member asks to join again,
    /// and a member passes such a request on to the leader that it knows.
    bool hasAutomaticMembership = false;
};

/// What a replica starts from.
struct ReplicaStart
{
    std::uint32_t group = 0;
    MemberId self;
    /// Instance names to announce oneself to while no configuration is known.
    std::vector<std::string> instances;
    /// What the storage held.
    storage::Contents contents;
    /// The last entry in the state machine if it kept running; at least the snapshot's index.
    std::uint64_t applied = 0;
    /// Seed for election timeouts.
    std::uint64_t seed = 0;
};

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_REPLICASETTINGS_H
