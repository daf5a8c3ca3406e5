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

/// Asks for a vote, or whether a vote would be given.
struct VoteRequest
{
    bool preVote = false;
    /// The leader itself asked for the election, so that its lease does not stand against it.
    bool transfer = false;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

/// Answers a VoteRequest.
struct VoteResponse
{
    bool preVote = false;
    bool granted = false;
    /// Index and term of the sender's newest accepted configuration if the asking member is not in
    /// it, else zero.
    std::uint64_t removalIndex = 0;
    std::uint64_t removalTerm = 0;
};

/// Replicates entries. One without entries is a heartbeat.
struct AppendRequest
{
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    /// Number of the leader's round of heartbeats; the answer returns it.
    std::uint64_t round = 0;
    std::vector<Entry> entries;
};

/// Answers an AppendRequest.
struct AppendResponse
{
    bool accepted = false;
    /// Accepted: the last index known to be equal and durable. Refused: an index at or before which
    /// the leader should try next.
    std::uint64_t index = 0;
    std::uint64_t round = 0;
};

/// A piece of a snapshot, in order.
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

/// Answers a SnapshotRequest.
struct SnapshotResponse
{
    /// The snapshot's index.
    std::uint64_t index = 0;
    /// The offset that the member expects next; the total once the snapshot is durable.
    std::uint64_t nextOffset = 0;
    std::uint64_t round = 0;
};

/// Tells a member to stand for election at once.
struct TransferRequest
{ };

/// Sent by a member with empty storage to every instance until the leader adds it.
struct JoinRequest
{ };

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 SnapshotRequest, SnapshotResponse, TransferRequest, JoinRequest>;

/// One message. A member drops what is addressed to another storage identity.
struct Message
{
    std::uint32_t group = 0;
    MemberId from;
    /// Identity zero stands for any identity; only a JoinRequest may have it.
    MemberId to;
    std::uint64_t term = 0;
    MessageBody body;
};

/// Bounds that a received message must keep.
struct MessageLimits
{
    std::size_t maxBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxEntries = 4096;
    std::size_t maxNameBytes = 255;
};

/// Returns a message as a JSON value whose byte strings are binary values, ready for CBOR.
nlohmann::json toJson(const Message &message);

/// Reads a message. InvalidRequest if it is malformed, TooLarge if it breaks a bound.
Result<Message> messageFromJson(const nlohmann::json &value, const MessageLimits &limits);

/// Encodes a message as CBOR.
std::string encode(const Message &message);

/// Decodes a message. InvalidRequest if it is malformed, TooLarge if it breaks a bound.
Result<Message> decodeMessage(std::string_view bytes, const MessageLimits &limits);

} // namespace kumquathaven::consensus

#endif // KUMQUATHAVEN_CONSENSUS_MESSAGE_H
