// The changes that the catalogue's state machine takes, and its answers.

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

/// Adds entries or puts them in place of those with the same names, all of them or none.
struct PutEntries
{
    /// The revision is not used.
    Catalogue entries;
    /// Whether customers, upstreams and routes that are not among the entries are removed. Keys
    /// stay: only a removal by name ends one.
    bool replace = false;
};

/// Removes an entry that no other refers to.
struct RemoveEntry
{
    EntryKind kind = EntryKind::Customer;
    std::string name;
};

/// Adds a key under a new name.
struct GrantKey
{
    Key key;
};

/// Ends a key for good.
struct WithdrawKey
{
    std::string name;
    bool cutsStreams = false;
};

/// Sends callers away from an entry instance, or lets them come back.
struct DrainInstance
{
    std::string name;
    bool drained = true;
};

/// An entry instance tells its address and state.
struct AnnounceInstance
{
    Instance instance;
    /// The incarnation that it takes the place of; zero: none. Refused if another process has the
    /// name. Nothing: it takes any place, as announcements did before they told this.
    std::optional<std::uint64_t> replaces = {};
    /// The processes of the departures up to this one had ended when this was proposed.
    std::uint64_t endedDepartures = 0;
};

/// An entry instance left or was not heard for longer than its lease.
struct DepartInstance
{
    std::string name;
    std::uint64_t incarnation = 0;
};

/// The platform's list says that an entry instance leaves or is gone, or no longer says so. The
/// hint ends when the instance itself announces something new.
struct HintInstance
{
    std::string name;
    std::uint64_t incarnation = 0;
    bool leaving = true;
};

/// Takes the place of a declaration with a lower version. One that is not higher changes nothing,
/// but other text under the present version is refused.
struct Declare
{
    Declaration declaration;
};

/// Names a version of a model's weights. One that is not higher than the present one changes
/// nothing.
struct SetWeightsVersion
{
    std::string model;
    std::uint64_t version = 0;
};

/// Tells what servers were ordered to serve, and forgets servers that are gone.
struct RecordServerWeights
{
    std::vector<ServerWeights> servers;
    std::vector<std::string> departedServers;
};

/// Tells the links of the present control members.
struct RecordControlLinks
{
    std::vector<std::string> links;
};

using ChangeBody = std::variant<PutEntries, RemoveEntry, GrantKey, WithdrawKey, DrainInstance,
                                AnnounceInstance, DepartInstance, HintInstance, Declare,
                                SetWeightsVersion, RecordServerWeights, RecordControlLinks>;

/// One change.
struct Change
{
    /// Chosen by the sender, who sends the same again after a lost answer. Empty for changes that
    /// are harmless twice.
    std::string changeId;
    /// The change is refused if the present revision is another.
    std::optional<std::uint64_t> expectedRevision;
    ChangeBody body;
};

/// What became of a change.
struct Answer
{
    bool accepted = false;
    /// Why it was refused.
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    /// The present revision and epoch: after the change, if it was accepted.
    std::uint64_t revision = 0;
    std::uint64_t epoch = 0;
};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_CHANGE_H
