// Messages between the members of one log group.

#ifndef KUMQUATHAVEN_CONSENSUS_MESSAGE_H
#define KUMQUATHAVEN_CONSENSUS_MESSAGE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/consensus/configuration.h"
#include "kumquathaven/storage/log.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquathaven::consensus {

using storage::Entry;
using storage::EntryKind;
using storage::HardState;
using storage::Snapshot;

/// Requests a vote, or as a pre-vote asks whether the receiver would grant one.
struct VoteRequest
{
    bool preVote = false;
    /// The leader itself requested this election by a TransferRequest, so that its lease does not
    /// prevent the vote.
    bool transfer = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

/// Response to a VoteRequest.
struct VoteResponse
{
    bool preVote = false;
    bool granted = false;
    /// Index and term of the latest configuration known to be committed on the sender, if the
    /// requesting member is not in it; zero otherwise.
    std::uint64_t removalIndex = 0;
    std::uint64_t removalTerm = 0;
};

/// Replicates entries. A request without entries is a heartbeat.
struct AppendRequest
{
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    /// Number of the leader's heartbeat round; the response echoes it.
    std::uint64_t round = 0;
    std::vector<Entry> entries;
};

/// Response to an AppendRequest.
struct AppendResponse
{
    bool accepted = false;
    /// If accepted: the last index up to which the log is durable and matches the leader's. If
    /// rejected: an index at or before which the leader should probe next.
    std::uint64_t index = 0;
    std::uint64_t round = 0;
    /// Whether the member is about to end, perhaps for good. Versions that do not know the field
    /// skip it, and their members do not set it.
    bool leaving = false;
};

/// Carries one chunk of a snapshot. Chunks are sent in the order of their offsets.
struct SnapshotRequest
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string configuration;
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::uint64_t round = 0;
    std::string chunk;
};

/// Response to a SnapshotRequest.
struct SnapshotResponse
{
    /// Index of the last log entry that the snapshot covers.
    std::uint64_t index = 0;
    /// Offset in bytes of the chunk that the member expects next; the total size once the snapshot
    /// is durable.
    std::uint64_t nextOffset = 0;
    std::uint64_t round = 0;
};

/// Asks a voter to start an election immediately, on behalf of the leader.
struct TransferRequest
{ };

/// Asks to be added to the group. A member with empty storage repeats it to every instance until
/// the leader adds it.
struct JoinRequest
{ };

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, TransferRequest, JoinRequest>;

/// A message between two members. A member drops messages for another storage identity.
struct Message
{
    std::uint32_t group = 0;
    MemberId from;
    /// The storage identity zero matches any identity; only a JoinRequest may use it.
    MemberId to;
    std::uint64_t term = 0;
    MessageBody body;
};

/// Limits on a received message.
struct MessageLimits
{
    std::size_t maxBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxEntries = 4096;
    std::size_t maxNameBytes = 255;
};

/// Converts a message to a JSON value for CBOR encoding; byte strings become binary values.
nlohmann::json toJson(const Message &message);

/// Converts a JSON value to a message. Fails with InvalidRequest if the value is malformed and with
/// TooLarge if it exceeds a limit.
Result<Message> messageFromJson(const nlohmann::json &value, const MessageLimits &limits);

/// Returns the bytes of the entries, or of the part of a snapshot, that a message carries.
std::size_t contentBytes(const Message &message);

/// Encodes a message as CBOR.
std::string encode(const Message &message);

/// Decodes a message from CBOR. Fails with InvalidRequest if the message is malformed and with
/// TooLarge if it exceeds a limit.
Result<Message> decodeMessage(std::string_view bytes, const MessageLimits &limits);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_MESSAGE_H
