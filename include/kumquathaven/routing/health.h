// Detects dead upstreams and slow or failing ones, and ejects both until they recover.

#ifndef KUMQUATHAVEN_ROUTING_HEALTH_H
#define KUMQUATHAVEN_ROUTING_HEALTH_H

#include "kumquathaven/base/enumnames.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/routing/policy.h"

#include <cstdint>

namespace kumquathaven::routing {

/// Whether requests are sent to an upstream. A half-open one gets one request at a time as a trial.
enum class HealthState { Healthy, Ejected, HalfOpen };

constexpr std::array<EnumName<HealthState>, 3> healthStateNames = {{
    {HealthState::Healthy, "healthy"},
    {HealthState::Ejected, "ejected"},
    {HealthState::HalfOpen, "halfOpen"},
}};

/// Why an upstream was ejected. Unreachable and Silent mean that it is dead; Errors and Slow mean
/// that it is alive but an outlier.
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
    /// The connection could not be established.
    Connect,
    /// The upstream answered that it does not accept the request.
    Refused,
    /// The connection was closed before the answer was complete.
    Cut,
    /// No byte was received in time.
    Timeout,
};

/// The health of one upstream.
struct Health
{
    HealthState state = HealthState::Healthy;
    EjectionReason reason = EjectionReason::None;
    /// Moving average of the share of failed requests, and the number of requests in it.
    double errorShare = 0;
    std::uint32_t samples = 0;
    /// Moving average of the ratio of observed to expected time to the first token.
    double slowness = 1;
    /// Failed connections in a row.
    std::uint32_t connectFailures = 0;
    /// Ejections since the last recovery; each doubles the length of the next one.
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    /// Whether a half-open upstream has its trial request outstanding.
    bool trialUnderWay = false;
    /// Whether the upstream is regularly polled for its load, so that silence means that it is
    /// dead.
    bool polled = false;
    /// When the last byte of any kind was received from the upstream. The default means never.
    TimePoint lastReceivedAt{};
};

/// Returns whether a reason means that the upstream is dead rather than an outlier.
bool meansDead(EjectionReason reason);

/// Records that a byte of any kind was received from the upstream. An upstream that was ejected as
/// dead becomes half-open.
void recordAlive(Health &health, TimePoint now);

/// Records a first token with its expected and observed time after the request was sent. The first
/// token of a trial ends the ejection, unless the upstream was ejected as slow and still is.
void recordSuccess(Health &health, Duration expected, Duration observed, const Policy &policy,
                   TimePoint now);

/// Records a failed request. A failed trial ejects the upstream again, for twice as long.
void recordFailure(Health &health, Failure failure, const Policy &policy, TimePoint now);

/// Records that other instances report the upstream as refusing connections.
void recordUnreachable(Health &health, const Policy &policy);

/// Returns the reason for which the upstream should be ejected now, or None.
EjectionReason ejectionDue(const Health &health, const Policy &policy, TimePoint now);

/// Ejects the upstream for a time that doubles with each ejection in a row, up to
/// Policy::maxEjection.
void eject(Health &health, EjectionReason reason, const Policy &policy, TimePoint now);

/// Makes the upstream half-open if it is ejected and its ejection has expired.
void reopen(Health &health, TimePoint now);

/// Returns whether a request may be sent to the upstream. Only repeatable requests are used as
/// trials.
bool takesWork(const Health &health, bool repeatable);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_HEALTH_H
