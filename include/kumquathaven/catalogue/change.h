// The changes that the catalogue's state machine applies, and its answers.

#ifndef KUMQUATHAVEN_CATALOGUE_CHANGE_H
#define KUMQUATHAVEN_CATALOGUE_CHANGE_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/catalogue/names.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::catalogue {

/// Adds entries, or replaces those with the same names, atomically.
struct PutEntries
{
    /// The entries to put. The catalogue's revision is ignored.
    Catalogue entries;
    /// Whether customers, upstreams and routes that are not among the entries are removed. Keys
    /// are kept; only RemoveEntry removes a key.
    bool replace = false;
};

/// Removes an entry that no other entry refers to.
struct RemoveEntry
{
    EntryKind kind = EntryKind::Customer;
    std::string name;
};

/// Adds a key. Its name must not exist yet.
struct GrantKey
{
    Key key;
};

/// Withdraws a key permanently.
struct WithdrawKey
{
    std::string name;
    bool cutsStreams = false;
};

/// Drains an entry instance of its callers, or ends the drain.
struct DrainInstance
{
    std::string name;
    bool drained = true;
};

/// Announces the addresses and the state of an entry instance.
struct AnnounceInstance
{
    Instance instance;
    /// The incarnation that the instance replaces; zero if it replaces none. The change is refused
    /// if another incarnation has the name. Without a value any incarnation is replaced, as by
    /// announcements in the format from before this field existed.
    std::optional<std::uint64_t> replaces = {};
    /// Number of the last departure such that its process and those of all earlier departures had
    /// ended when the change was proposed.
    std::uint64_t endedDepartures = 0;
};

/// Removes an entry instance that left, or from which nothing was received for longer than its
/// lease.
struct DepartInstance
{
    std::string name;
    std::uint64_t incarnation = 0;
};

/// Records that the platform's list shows an entry instance as leaving or missing, or that the list
/// no longer does. The hint ends when the instance itself announces something new.
struct HintInstance
{
    std::string name;
    std::uint64_t incarnation = 0;
    bool leaving = true;
};

/// Replaces a declaration that has a lower version. A version that is not higher than the present
/// one changes nothing, but a different text under the present version is refused.
struct Declare
{
    Declaration declaration;
};

/// Sets the version of a model's weights. A version that is not higher than the present one changes
/// nothing.
struct SetWeightsVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// Records the weights that servers were ordered to serve, and removes departed servers.
struct RecordServerWeights
{
    std::vector<ServerWeights> servers;
    std::vector<std::string> departedServers;
};

/// Records the link addresses of the present control members.
struct RecordControlLinks
{
    std::vector<std::string> links;
};

/// Maximum length of the name of a service or a release in a rollout, in bytes.
constexpr std::size_t maxReleaseBytes = 256;
/// Maximum time limit of a rollout: 7 days.
constexpr std::uint64_t maxRolloutLimitMs = 7ULL * 24 * 3600 * 1000;

/// Orders a rollout. An order that equals the last one of the service in release and time limit is
/// accepted again and changes nothing. Another one is refused with Conflict while one is running.
struct StartRollout
{
    std::string service;
    std::string release;
    std::uint64_t limitMs = 0;
    std::uint64_t orderedAtMs = 0;
};

/// Records a step of a rollout. It is refused unless \p number and \p fromStep are those of the
/// catalogue and the rollout is running, so that a decision on old figures changes nothing.
struct RecordRolloutStep
{
    std::string service;
    std::uint64_t number = 0;
    std::uint32_t fromStep = 0;
    RolloutState state = RolloutState::Running;
    std::uint32_t sharePerMille = 0;
    std::uint64_t elapsedMs = 0;
    std::string reason;
};

using ChangeBody =
    std::variant<PutEntries, RemoveEntry, GrantKey, WithdrawKey, DrainInstance, AnnounceInstance,
                 DepartInstance, HintInstance, Declare, SetWeightsVersion, RecordServerWeights,
                 RecordControlLinks, StartRollout, RecordRolloutStep>;

/// One change of the state, as it is proposed to the replicated log.
struct Change
{
    /// Idempotency key that the sender chooses and repeats when it retries after a lost answer.
    /// Empty for changes that are idempotent by themselves.
    std::string changeId;
    /// If set, the change is refused unless this is the present revision.
    std::optional<std::uint64_t> expectedRevision;
    ChangeBody body;
};

/// The outcome of a change.
struct Answer
{
    bool accepted = false;
    /// The reason for a refusal. Not meaningful if the change was accepted.
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    /// The revision and epoch after the change, or the present ones if it was refused.
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_CHANGE_H
