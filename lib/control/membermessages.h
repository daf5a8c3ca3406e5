// Messages between control members.

#ifndef KUMQUATHAVEN_CONTROL_MEMBERMESSAGES_H
#define KUMQUATHAVEN_CONTROL_MEMBERMESSAGES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/control/liveness.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/wire/frame.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::control {

/// A follower's request to the leader for a freshness proof, with the heartbeats that the follower
/// received.
struct MemberProofRequest
{
    std::uint64_t number = 0;
    std::vector<InstanceHeartbeat> heartbeats;
};

/// The leader's answer to a MemberProofRequest: \c age ago, no log entry after \c index had been
/// accepted.
struct MemberProof
{
    std::uint64_t number = 0;
    std::uint64_t index = 0;
    Duration age{0};
};

/// A catalogue change, encoded as CBOR, that a follower forwards to the leader.
struct ForwardChange
{
    std::string change;
};

/// Asks whether the receiver belongs to a log group.
struct MembershipQuery
{
    std::uint32_t group = 0;
};

/// The reply to MembershipQuery.
struct MembershipReply
{
    std::uint32_t group = 0;
    bool belongs = false;
};

/// An encoded message between the replicas of a log group.
struct LogMessage
{
    std::string bytes;
};

/// A command of an entry instance that a member forwards to the ledger's leader, or the answer to
/// it on the way back.
struct RelayedCommand
{
    bool isAnswer = false;
    /// Random number drawn at each start of the member that the entry is connected to.
    std::uint64_t origin = 0;
    /// Number of the entry's link at that member.
    std::uint64_t link = 0;
    /// Number that the entry gave the command.
    std::uint64_t number = 0;
    std::string bytes;
};

/// The body of an entry's report about a rollout that a follower forwards to the leader.
struct ForwardReport
{
    std::string body;
};

using MemberMessage =
    std::variant<MemberProofRequest, MemberProof, ForwardChange, MembershipQuery, MembershipReply,
                 LogMessage, RelayedCommand, ForwardReport, feed::WeightsAges>;

/// Returns the frame that carries a message, on the consensus channel.
wire::Frame toFrame(const MemberMessage &message);

/// Parses a message. The error is InvalidRequest and names \p peer.
Result<MemberMessage> memberMessage(const wire::Frame &frame, const std::string &peer);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_MEMBERMESSAGES_H
