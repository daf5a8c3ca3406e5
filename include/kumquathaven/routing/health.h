// Tells slow upstreams from dead ones, and keeps both from getting work until they recover.

#ifndef KUMQUATHAVEN_ROUTING_HEALTH_H
#define KUMQUATHAVEN_ROUTING_HEALTH_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/policy.h"

#include <cstdint>

namespace kumquathaven::routing {

/// Whether an upstream gets work. A half-open one gets one request at a time as a trial.
enum class HealthState { Healthy, Ejected, HalfOpen };

constexpr std::array<EnumName<HealthState>, 3> healthStateNames = {{
    {HealthState::Healthy, "healthy"},
    {HealthState::Ejected, "ejected"},
    {HealthState::HalfOpen, "halfOpen"},
}};

/// Why an upstream was ejected. The first two mean dead, the others an outlier that still lives.
enum class EjectionReason { None, Unreachable, Silent, Errors, Slow };

constexpr std::array<EnumName<EjectionReason>, 5> ejectionReasonNames = {{
    {EjectionReason::None, "none"},
    {EjectionReason::Unreachable, "unreachable"},
    {EjectionReason::Silent, "silent"},
    {EjectionReason::Errors, "errors"},
    {EjectionReason::Slow, "slow"},
}};

/// How a request to an upstream failed.
enum class Failure {
    /// The connection could not be made.
    Connect,
    /// The upstream answered that it does not take the request.
    Refused,
    /// The connection ended before the answer was whole.
    Cut,
    /// No byte came in time.
    Timeout,
};

/// What is known about one upstream's condition.
struct Health
{
    HealthState state = HealthState::Healthy;
    EjectionReason reason = EjectionReason::None;
    /// Moving share of failed requests, and how many requests it stands on.
    double errorShare = 0;
    std::uint32_t samples = 0;
    /// Moving ratio of observed to expected time to the first token.
    double slowness = 1;
    std::uint32_t connectFailures = 0;
    /// Ejections without a recovery between them; each doubles the time.
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    bool trialUnderWay = false;
    /// Whether it is asked for its load regularly, so that silence means something.
    bool polled = false;
    /// The last byte of any kind from the upstream. The default means never.
    TimePoint lastReceivedAt{};
};

/// Returns whether a reason means that the upstream is dead rather than slow.
bool meansDead(EjectionReason reason);

/// Takes note of any byte from the upstream. One that was taken for dead becomes half-open.
void recordAlive(Health &health, TimePoint now);

/// Takes note of a first token. A trial that gets here ends the ejection.
void recordSuccess(Health &health, Duration expected, Duration observed, const Policy &policy,
                   TimePoint now);

/// Takes note of a failed request. A failed trial doubles the ejection.
void recordFailure(Health &health, Failure failure, const Policy &policy, TimePoint now);

/// Takes note that others found the upstream to take no connections.
void recordUnreachable(Health &health, const Policy &policy);

/// Returns why the upstream ought to be ejected now, or None.
EjectionReason ejectionDue(const Health &health, const Policy &policy, TimePoint now);

/// Takes the upstream out for a time that doubles with each ejection in a row.
void eject(Health &health, EjectionReason reason, const Policy &policy, TimePoint now);

/// Ends an ejection whose time is over by letting one trial through.
void reopen(Health &health, TimePoint now);

/// Returns whether the upstream may get a request. Only work that may be repeated goes on trial.
bool takesWork(const Health &health, bool repeatable);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_HEALTH_H
