// The messages of the feed, by which entry instances follow the control state, and their encoding
// as frames.

#ifndef KUMQUATHAVEN_FEED_MESSAGES_H
#define KUMQUATHAVEN_FEED_MESSAGES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/change.h"
#include "kumquathaven/catalogue/state.h"
#include "kumquathaven/catalogue/textpatch.h"
#include "kumquathaven/catalogue/weightstimes.h"
#include "kumquathaven/release/release.h"
#include "kumquathaven/wire/frame.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::feed {

// Messages from an entry instance to a control member or to a relaying entry instance.

/// Requests all changes after a position of the control log.
struct Subscribe
{
    /// The position that the subscriber holds; zero: it holds no state yet.
    std::uint64_t position = 0;
    /// Whether a complete state, if one is needed, must come from the receiver itself rather than
    /// from a relay that a Redirect names.
    bool noRedirect = false;
    /// Whether the subscriber reads patches of declarations. A receiver of the version before takes
    /// this for noRedirect.
    bool readsPatches = false;
};

/// The last time an instance was known to be alive, as reported by a relay above it.
struct Heartbeat
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Age when the relay reported it. On the wire it is at most 10 minutes.
    Duration age{0};
};

/// Requests a proof of the age of the receiver's state. Sent regularly, it is also the heartbeat of
/// the sender, and carries those of the instances below the sender.
struct ProofRequest
{
    /// Increases with each request on one link.
    std::uint64_t number = 0;
    /// The sender and its incarnation, so that a member can report to the leader which instances
    /// are alive.
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Heartbeats of the instances that the sender feeds, and of those below them.
    std::vector<Heartbeat> heartbeats = {};
};

/// Announces the instance's address and state.
struct Announce
{
    catalogue::Instance instance;
    /// The incarnation of the same name that the sender saw listed and replaces; zero: none.
    std::uint64_t replaces = 0;
};

/// Announces that the instance is shutting down.
struct Leave
{
    std::string instance;
    std::uint64_t incarnation = 0;
};

/// Ends the feed over this link. The link stays open for proofs and the ledger.
struct Unsubscribe
{ };

/// Maximum number of routes in one report about a rollout.
constexpr std::size_t maxReportedRoutes = 10'000;

/// What all entries together counted about a rollout. Sent by the root of the entries' tree while
/// the rollout runs; counts never decrease. A member that does not lead passes it on to the leader.
struct RolloutReport
{
    std::string service;
    std::uint64_t number = 0;
    release::Evidence evidence;
};

// Messages from a control member, or from a relaying entry instance, to an entry instance.

/// The complete control state at a position.
struct StateAt
{
    std::uint64_t position = 0;
    catalogue::Catalogue catalogue;
    catalogue::Instances instances;
    std::set<std::string> drained;
    /// Time since the epoch was accepted. It may be too small but never too large.
    Duration epochAge{0};
};

/// An accepted change, with the revision and the epoch that resulted from it.
struct ChangeAt
{
    std::uint64_t position = 0;
    catalogue::Change change;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
    /// Declarations: the difference from the declaration before, if it is known. It is not part of
    /// the encoded message.
    std::shared_ptr<const catalogue::TextPatch> patch = nullptr;
};

/// An accepted declaration, as the difference from the one at the position before. It is sent to
/// subscribers that read patches, and costs as many bytes as were changed.
struct DeclarationPatchAt
{
    std::uint64_t position = 0;
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    /// Hash of the text that results.
    std::uint64_t textHash = 0;
    catalogue::TextPatch patch;
};

/// Proves that \p age ago no change after \p position had been accepted.
struct Proof
{
    /// Number of the request that this answers.
    std::uint64_t number = 0;
    std::uint64_t position = 0;
    /// Age of the proof as measured by the member when it answered. It is at most 10 minutes.
    Duration age{0};
};

/// Name and address of an entry instance that can relay.
struct RelayAddress
{
    std::string name;
    /// Address for links from other instances, as "host:port".
    std::string link;
};

/// A member's answer to an instance that holds no state: the instance should request the complete
/// state from one of these relays, in their order, and return to control if none of them gives it.
struct Redirect
{
    std::vector<RelayAddress> relays;
};

/// How long ago the versions of models' weights were set. Sent before states and proofs while a
/// version was set lately. A receiver of the version before drops it and counts from the arrival of
/// a version.
struct WeightsAges
{
    std::vector<catalogue::WeightsAge> ages;
};

using Message = std::variant<Subscribe, ProofRequest, Announce, Leave, StateAt, ChangeAt, Proof,
                             Unsubscribe, Redirect, RolloutReport, DeclarationPatchAt, WeightsAges>;

/// Returns the frame that carries a message.
wire::Frame toFrame(const Message &message);

/// Decodes a message. Fails with InvalidRequest, with \p peer in the error, if the frame is
/// malformed.
Result<Message> fromFrame(const wire::Frame &frame, const std::string &peer);

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_MESSAGES_H
