// Decides how the traffic of a service moves to servers with another release of its software, and
// when it moves back.
//
// This answers releases that are bad at once, bad later, bad only under load or bad on one route
// only, that fail a few requests in a hundred or answer several times more slowly; and good
// releases on days with trouble that both releases share. Requests to the new release are bounded
// by counting them, and it is compared with the present release at the same moment, by route.
//
// The functions are pure: what all instances counted and the current time are arguments.

#ifndef KUMQUATHAVEN_RELEASE_RELEASE_H
#define KUMQUATHAVEN_RELEASE_RELEASE_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace kumquathaven::release {

/// Good answers are counted by their delay, in buckets of which each is twice as wide as the one
/// before.
constexpr std::size_t delayBucketCount = 16;

/// Returns the bucket of a delay: that of the first event of a stream, else of the whole answer.
std::size_t delayBucketOf(Duration delay);

/// Requests of one route to one side of a rollout, since it began.
struct Counts
{
    std::int64_t sent = 0;
    /// Errors of the server, and attempts without a complete answer that are the server's fault.
    std::int64_t failed = 0;
    /// Of those that failed, attempts cut off or refused by the connection. The crash of one server
    /// fails many at once, so they weigh less than errors that a server answered.
    std::int64_t cut = 0;
    /// Good answers by their delay.
    std::array<std::int64_t, delayBucketCount> delays{};
};

/// Requests of one route to servers with other releases and to those with the new one.
struct RouteCounts
{
    Counts present;
    Counts next;
};

/// Outcomes at some of the servers with the new release, over all routes.
struct GroupCounts
{
    /// Good answers and errors.
    std::int64_t answered = 0;
    /// Errors that a server answered.
    std::int64_t failed = 0;
};

/// A server belongs to the group of its place, modulo this, in the order in which servers are
/// exposed.
constexpr std::size_t serverGroupCount = 4;

/// What all connected instances counted together.
struct Evidence
{
    /// By name of the route. Retries and hedges count as sent.
    std::map<std::string, RouteCounts> routes;
    /// Distinguish one failing server from a bad release. All zero: not counted, then every error
    /// is taken for one of the release.
    std::array<GroupCounts, serverGroupCount> groups{};
    /// Requests that run at servers with other releases now.
    std::int64_t runningAtPresent = 0;
    /// Number of instances whose counts are included, and of those that are announced as serving.
    std::uint32_t instances = 0;
    std::uint32_t instancesServing = 0;
};

/// Servers of the service by release, as the platform lists them.
struct Supply
{
    std::uint32_t presentServers = 0;
    std::uint32_t nextServers = 0;
    std::uint64_t presentSlots = 0;
    std::uint64_t nextSlots = 0;
};

/// Bounds of a rollout.
struct Policy
{
    /// A bad release gets at most this share of the service's requests between the order and its
    /// time limit, and this many requests more.
    double exposureShare = 0.1;
    double exposureSlack = 50;
    /// Time after the 50th bad answer from which on a bad release gets no request.
    Duration rollbackTime = std::chrono::seconds(5);
    /// Requests that one server may run at once: so many are cut by its crash.
    std::int64_t requestsPerServer = 32;
};

/// Where a rollout stands, from the catalogue.
struct Progress
{
    /// Raised by each step.
    std::uint32_t step = 0;
    /// Share of the requests that the new release may get, in thousandths.
    std::uint32_t sharePerMille = 0;
    /// Time since the order, and the time limit.
    Duration elapsed{0};
    Duration limit{0};
    /// Time since the present step began.
    Duration inStep{0};
};

enum class Action { Hold, Advance, Complete, RollBack };

constexpr std::array<EnumName<Action>, 4> actionNames = {{
    {Action::Hold, "hold"},
    {Action::Advance, "advance"},
    {Action::Complete, "complete"},
    {Action::RollBack, "rollBack"},
}};

struct Decision
{
    Action action = Action::Hold;
    /// For Action::Advance: the next share.
    std::uint32_t sharePerMille = 0;
    /// The figures behind the decision, for logs and operators.
    std::string reason;
};

/// Decides the next step. \p evidence may be old or lack instances; then nothing advances beyond
/// the first share, but a release that it shows to be bad is rolled back. \p evidenceAge is the
/// time since it was counted.
Decision decide(const Progress &progress, const Evidence &evidence, Duration evidenceAge,
                const Supply &supply, const Policy &policy);

/// Returns why the new release counts as bad, or an empty string. Any instance may ask this of the
/// sums that it knows: it then sends the release nothing more, without waiting for a decision.
/// \p sharePerMille is the present share. At a raised share the new release gets more of the
/// trouble that both releases have; the largest share is the most lenient.
std::string faultOf(const Evidence &evidence, const Policy &policy,
                    std::uint32_t sharePerMille = 1000);

/// Returns whether this instance may send a request of a route to the new release now.
/// \p sent are the requests of all routes that this instance sent to each side since the rollout
/// began, and \p draw, from 0 to 1, is that of the request. Counting keeps the sum over any number
/// of instances under the bound.
bool mayExpose(const Progress &progress, std::int64_t sentPresent, std::int64_t sentNext,
               std::uint32_t instances, const Policy &policy, double draw);

/// Returns how many of the servers with the new release get requests at a share, so that each of
/// them has the load that it would have after the rollout. A release that is bad only under load
/// then shows it while few requests are exposed.
std::uint32_t exposedServers(std::uint32_t sharePerMille, const Supply &supply);

/// Returns the group of servers whose errors may be those of one failing server. Its servers are
/// exposed last, so that others tell whether the release is bad. serverGroupCount if there is none.
std::size_t avoidedGroup(const Evidence &evidence);

} // namespace kumquathaven::release

#endif // KUMQUATHAVEN_RELEASE_RELEASE_H
