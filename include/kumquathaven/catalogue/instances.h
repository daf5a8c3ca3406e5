// The entry instances that control knows, numbered by epochs.

#ifndef KUMQUATHAVEN_CATALOGUE_INSTANCES_H
#define KUMQUATHAVEN_CATALOGUE_INSTANCES_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace kumquathaven::catalogue {

/// Where an instance is in its life. Callers are sent only to serving ones.
enum class InstanceState { Starting, Serving, Leaving };

/// What an entry instance announced about itself.
struct Instance
{
    std::string name;
    std::string region;
    std::string failureDomain;
    /// "host:port" for callers.
    std::string callers;
    /// "host:port" for other instances.
    std::string link;
    /// Relative size among the entries.
    std::uint32_t weight = 100;
    InstanceState state = InstanceState::Starting;
    /// Drawn at random by each start of the process, so that a restart is a new incarnation.
    std::uint64_t incarnation = 0;
    /// Since when the process is in this state: milliseconds since 1970 on its own clock. Zero if
    /// it does not say.
    std::uint64_t since = 0;
    /// Names what only one process at a time can hold, and what it holds from before its first
    /// announcement until its end. A later process there proves the earlier one's end. Zero: none.
    std::uint64_t place = 0;
};

/// Departed processes whose end is not proved, at most. Beyond that the oldest count as one.
constexpr std::size_t maxUnprovenDepartures = 4096;

/// The entries of one epoch. Every change of the set of entries makes a new epoch.
struct Instances
{
    std::uint64_t epoch = 0;
    std::map<std::string, Instance> entries;
    /// Processes that ended or were replaced since the state began. While it is zero, whatever any
    /// entry did is known to one that is still here.
    std::uint64_t departures = 0;
    /// The places of departed processes that may still act, by the number of their departure.
    /// While it is empty, nobody but the entries can act.
    std::map<std::uint64_t, std::uint64_t> unprovenDepartures = {};
    /// Names of entries that the platform's list says are leaving or gone. Callers are sent to
    /// others; nothing else follows from it.
    std::set<std::string> hinted = {};
};

} // namespace kumquathaven::catalogue

#endif // KUMQUATHAVEN_CATALOGUE_INSTANCES_H
