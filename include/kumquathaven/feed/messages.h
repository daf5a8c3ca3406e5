// The messages by which entry instances follow the control state.

#ifndef KUMQUATHAVEN_FEED_MESSAGES_H
#define KUMQUATHAVEN_FEED_MESSAGES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/change.h"
#include "kumquathaven/catalogue/state.h"
#include "kumquathaven/wire/frame.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::feed {

// From an entry instance to a control member, or to an entry instance that relays.

/// Asks for everything after a position of the control log.
struct Subscribe
{
    /// Zero: nothing is held yet.
    std::uint64_t position = 0;
    /// Whether a whole state, if one is needed, must come from the receiver itself.
    bool noRedirect = false;
};

/// That an instance showed some time ago that it lives, as told by a relay that feeds it.
struct Heartbeat
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Counted by the relay until it told this. On the wire it is at most 10 minutes.
    Duration age{0};
};

/// Asks how fresh the member's state is. Asked regularly, it also tells that the instance lives,
/// and which of those below it do.
struct ProofRequest
{
    /// Grows with each request on one link.
    std::uint64_t number = 0;
    /// The instance and its incarnation, so that a member can tell the leader who lives.
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Of the instances that this one feeds, and of those below them.
    std::vector<Heartbeat> heartbeats = {};
};

/// Tells the instance's address and state.
struct Announce
{
    catalogue::Instance instance;
    /// The incarnation under its name that it saw and takes the place of; zero: none.
    std::uint64_t replaces = 0;
};

/// Tells that the instance ends.
struct Leave
{
    std::string instance;
    std::uint64_t incarnation = 0;
};

/// Ends the feed over this link. The link stays, for proofs and the ledger.
struct Unsubscribe
{ };

// From a control member, or an entry instance that relays, to an entry instance.

/// The whole state at a position.
struct StateAt
{
    std::uint64_t position = 0;
    catalogue::Catalogue catalogue;
    catalogue::Instances instances;
    std::set<std::string> drained;
    /// Time since the epoch was accepted, at most the true one.
    Duration epochAge{0};
};

/// An accepted change, with what it led to.
struct ChangeAt
{
    std::uint64_t position = 0;
    catalogue::Change change;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
};

/// Says that no change after a position had been accepted a while ago.
struct Proof
{
    /// That of the request.
    std::uint64_t number = 0;
    std::uint64_t position = 0;
    /// How long ago, measured by the member when it answered. It is at most 10 minutes.
    Duration age{0};
};

/// Where an entry instance that may relay is reached.
struct RelayAddress
{
    std::string name;
    /// "host:port" for other instances.
    std::string link;
};

/// The answer of a member to an instance that holds nothing: it should ask one of these for the
/// whole state, the first ones first, and come back if none of them gives it.
struct Redirect
{
    std::vector<RelayAddress> relays;
};

using Message = std::variant<Subscribe, ProofRequest, Announce, Leave, StateAt, ChangeAt, Proof,
                             Unsubscribe, Redirect>;

/// Returns the frame that carries a message.
wire::Frame toFrame(const Message &message);

/// Reads a message. The error is InvalidRequest and names \p peer.
Result<Message> fromFrame(const wire::Frame &frame, const std::string &peer);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_MESSAGES_H
