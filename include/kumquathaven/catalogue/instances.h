// The membership of the entry instances, versioned by epochs.

#ifndef KUMQUATHAVEN_CATALOGUE_INSTANCES_H
#define KUMQUATHAVEN_CATALOGUE_INSTANCES_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace kumquathaven::catalogue {

/// The state of an entry instance. Callers are directed to serving instances only.
enum class InstanceState { Starting, Serving, Leaving };

/// The properties that an entry instance announced about itself.
struct Instance
{
    std::string name;
    std::string region;
    std::string failureDomain;
    /// Address for callers, "host:port".
    std::string callers;
    /// Address for links from other instances, "host:port".
    std::string link;
    /// Capacity relative to the other entries.
    std::uint32_t weight = 100;
    InstanceState state = InstanceState::Starting;
    /// Drawn at random by each start of the process, so that a restart is a new incarnation.
    std::uint64_t incarnation = 0;
    /// Time at which the process entered this state: milliseconds since 1970 on its own clock. Zero
    /// if the process does not report it.
    std::uint64_t since = 0;
    /// Identifies a resource that only one process at a time can hold, and that this process holds
    /// from before its first announcement until it ends. A later process with the same value proves
    /// that the earlier one has ended. Zero if there is no such resource.
    std::uint64_t place = 0;
};

/// Maximum number of departed processes whose end is not proven. Beyond it the oldest are merged
/// into one record.
constexpr std::size_t maxUnprovenDepartures = 4096;

/// The entries of one epoch. Every change to them starts a new epoch.
struct Instances
{
    std::uint64_t epoch = 0;
    std::map<std::string, Instance> entries;
    /// Number of processes that departed or were replaced since the state was created. While it is
    /// zero, everything that any entry ever did is known to an entry that is still a member.
    std::uint64_t departures = 0;
    /// The values of Instance::place of departed processes that may still be running, keyed by the
    /// number of the departure. While the map is empty, no process but the entries can act.
    std::map<std::uint64_t, std::uint64_t> unprovenDepartures = {};
    /// Names of entries that the platform's list shows as leaving or missing. Callers are directed
    /// to other entries; a hint has no other effect.
    std::set<std::string> hinted = {};
};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_INSTANCES_H
