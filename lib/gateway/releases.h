// Which servers of a service a request may get while an operator moves its traffic to another
// release, and what this instance and all others count about that.
//
// This answers new releases that are bad, with any number of instances and with control lost: each
// instance bounds its own sends, knows the sums of what all connected instances counted, and sends
// a release nothing more once these show that it is bad. Sums are some seconds late at most, and
// lack what instances knew that were lost since.
//
// The functions are pure: lists, the catalogue, outcomes and the current time are arguments.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_RELEASES_H
#define KUMQUATHAVEN_LIB_GATEWAY_RELEASES_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/release/release.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquathaven::gateway {

enum class AttemptEnd;

/// Sides of a rollout: servers with other releases, and those with the new one.
enum class ReleaseSide { Present, Next };

constexpr std::array<EnumName<ReleaseSide>, 2> releaseSideNames = {{
    {ReleaseSide::Present, "present"},
    {ReleaseSide::Next, "next"},
}};

/// A rollout as this instance knows it.
struct KnownRollout
{
    catalogue::ServiceRollout order;
    /// Time since the order when this instance learned of it.
    Duration elapsedBefore{0};
    TimePoint learnedAt{};
    TimePoint stepAt{};
    /// When this instance learned that the rollout ended.
    TimePoint endedAt{};
    /// Releases that were rolled back before and not ordered again.
    std::set<std::string> withdrawn;
    /// Releases that were listed beside the new one before it was complete, or that the first list
    /// after that had. Their servers end with the rollout. Servers of later releases are used,
    /// since a platform may replace servers without an order.
    std::set<std::string> replaced;
    bool knowsReplaced = false;

    release::Supply supply;
    /// Places of the servers with the new release in the order in which they are exposed, by start.
    std::map<std::string, std::uint32_t> places;
    std::uint32_t exposedServers = 0;
    /// The group of places that is exposed last, since its errors may be those of one failing
    /// server; release::serverGroupCount if there is none.
    std::size_t avoidedGroup = release::serverGroupCount;
    std::uint32_t maxSlots = 0;

    /// Counts of this instance and of all others together.
    release::Evidence own;
    release::Evidence others;
    /// Sends of this instance over all routes. At present servers only those that reached one.
    std::int64_t reachedPresent = 0;
    std::int64_t sentNext = 0;
    /// Set by each change of the counts, cleared by applyBrakes().
    bool hasNewCounts = false;
    /// Why this instance sends the new release nothing more; empty if it may.
    std::string fault;
};

/// What a level of other instances stands for.
struct CounterPlace
{
    std::uint64_t rollout = 0;
    /// Index in Releases::routes, or noRoute for a counter of the whole rollout.
    std::uint32_t route = 0;
    ReleaseSide side = ReleaseSide::Present;
    std::uint32_t counter = 0;
};

struct Releases
{
    release::Policy policy;
    /// Number of instances that are announced as serving.
    std::uint32_t instances = 1;
    /// The last rollout of each service, by name of the service.
    std::map<std::string, KnownRollout> rollouts;
    /// Requests of this instance that run, by service and release of the server.
    std::map<std::pair<std::string, std::string>, std::int64_t> running;
    /// Counters by their keys, for the rollouts and the plan's version that they were made for.
    std::unordered_map<std::uint64_t, CounterPlace> counters;
    std::vector<std::string> routes;
    std::set<std::uint64_t> countedRollouts;
    std::uint64_t countedPlan = 0;
};

/// The part of a request that decides on its side.
struct ReleaseRequest
{
    const std::string &requestId;
    /// Whether the new release failed it before.
    bool failedAtNext = false;
};

/// A send to a server, for the counts.
struct ReleaseSend
{
    std::string service;
    std::string release;
    std::string route;
    /// Number of the rollout of the service; zero if there is none that is counted.
    std::uint64_t rollout = 0;
    ReleaseSide side = ReleaseSide::Present;
    std::size_t group = 0;
};

/// How a send ended.
struct ReleaseSendEnd
{
    AttemptEnd end;
    /// Whether an answer began: the first event of a stream, or the head of another answer.
    bool hasAnswer = false;
    bool isMalformed = false;
    bool isDeadlinePassed = false;
    /// Time to the first event of a stream, else to the end.
    Duration delay{0};
    Duration objective{0};
};

/// Applies the rollouts of a catalogue; \p wallMs is the present time in milliseconds since 1970.
/// Returns the services whose rollout changed.
std::vector<std::string>
applyRollouts(Releases &releases, const std::map<std::string, catalogue::ServiceRollout> &rollouts,
              std::uint64_t wallMs, TimePoint now);

/// Applies the servers that the platform lists. To be called after each change of the list or the
/// rollouts.
void applySupply(Releases &releases, const std::vector<const deployment::ListedServer *> &servers);

/// Returns the sides whose servers may get a request, in the order in which they are to be tried.
/// Nothing in the place of a side stands for all servers of the service.
std::vector<std::optional<ReleaseSide>> sidesFor(const Releases &releases,
                                                 const std::string &service,
                                                 const ReleaseRequest &request, TimePoint now);

/// Returns whether a server belongs to a side and may get requests of that side.
bool isOnSide(const Releases &releases, const deployment::ListedServer &server,
              const std::string &start, ReleaseSide side);

/// Describes a send to a server.
ReleaseSend releaseSendOf(const Releases &releases, const deployment::ListedServer &server,
                          const std::string &start, const std::string &route);

/// Count the beginning and the end of a send. The latter returns whether the new release failed the
/// request, which must not be sent there again.
void countSend(Releases &releases, const ReleaseSend &send);
bool countSendEnd(Releases &releases, const ReleaseSend &send, const ReleaseSendEnd &end);

/// Makes the counters for the rollouts that are counted and the routes of a plan, and forgets the
/// counts of rollouts that ended some time ago. Returns whether there are other counters than
/// before; then the levels of the others are to be applied again.
bool updateCounters(Releases &releases, const deployment::Plan &plan, TimePoint now);

/// Returns the counts of this instance by key.
std::unordered_map<std::uint64_t, std::int64_t> ownCounters(const Releases &releases);

/// Sets what all other instances together counted under a key. Returns false if the key is not that
/// of a counter.
bool setCounterOfOthers(Releases &releases, std::uint64_t key, std::int64_t value);

/// Returns what all connected instances counted together.
release::Evidence evidenceOf(const Releases &releases, const KnownRollout &rollout);

/// Compares the releases of running rollouts. Returns the services whose new release is found to be
/// bad just now; it gets nothing more from this instance.
std::vector<std::string> applyBrakes(Releases &releases);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_RELEASES_H
