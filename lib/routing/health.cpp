#include "kumquathaven/routing/health.h"

#include <algorithm>

namespace kumquathaven::routing {

namespace {

/// Weight of the newest sample in moving averages.
constexpr double newestWeight = 0.2;

void addSample(Health &health, double failed)
{
    ++health.samples;
    const double weight = std::max(newestWeight, 1.0 / health.samples);
    health.errorShare += weight * (failed - health.errorShare);
}

void recover(Health &health)
{
    Health fresh;
    fresh.lastReceivedAt = health.lastReceivedAt;
    fresh.polled = health.polled;
    health = fresh;
}

} // namespace

bool meansDead(EjectionReason reason)
{
    return reason == EjectionReason::Unreachable || reason == EjectionReason::Silent;
}

void recordAlive(Health &health, TimePoint now)
{
    health.lastReceivedAt = now;
    health.connectFailures = 0;
    if (health.state == HealthState::Ejected && meansDead(health.reason))
        health.state = HealthState::HalfOpen;
}

void recordSuccess(Health &health, Duration expected, Duration observed, const Policy &policy,
                   TimePoint now)
{
    recordAlive(health, now);
    const bool slow = observed > expected + policy.slowFloor;
    if (health.state != HealthState::Healthy && (!slow || health.reason != EjectionReason::Slow))
        recover(health);
    addSample(health, 0);
    const double ratio = slow ? toSeconds(observed) / std::max(toSeconds(expected), 0.001) : 1.0;
    // The ratio is bounded so that one request that waited for hours does not outweigh all later
    // ones.
    const double bounded = std::min(ratio, 4 * policy.slowLimit);
    health.slowness += newestWeight * (bounded - health.slowness);
}

void recordFailure(Health &health, Failure failure, const Policy &policy, TimePoint now)
{
    addSample(health, 1);
    if (failure == Failure::Connect)
        ++health.connectFailures;
    else if (failure != Failure::Timeout)
        recordAlive(health, now);
    if (health.state == HealthState::HalfOpen)
        eject(health, health.reason, policy, now);
}

void recordUnreachable(Health &health, const Policy &policy)
{
    health.connectFailures = std::max(health.connectFailures, policy.refusedLimit);
}

EjectionReason ejectionDue(const Health &health, const Policy &policy, TimePoint now)
{
    if (health.connectFailures >= policy.refusedLimit)
        return EjectionReason::Unreachable;
    if (health.polled && now - health.lastReceivedAt > policy.deadAfter)
        return EjectionReason::Silent;
    if (health.samples < policy.minSamples)
        return EjectionReason::None;
    if (health.errorShare >= policy.errorLimit)
        return EjectionReason::Errors;
    if (health.slowness >= policy.slowLimit)
        return EjectionReason::Slow;
    return EjectionReason::None;
}

void eject(Health &health, EjectionReason reason, const Policy &policy, TimePoint now)
{
    health.state = HealthState::Ejected;
    health.reason = reason;
    health.trialUnderWay = false;
    Duration length = policy.firstEjection;
    for (std::uint32_t n = 0; n < health.ejections && length < policy.maxEjection; ++n)
        length *= 2;
    ++health.ejections;
    health.ejectedUntil = now + std::min(length, policy.maxEjection);
}

void reopen(Health &health, TimePoint now)
{
    if (health.state != HealthState::Ejected || now < health.ejectedUntil)
        return;
    health.state = HealthState::HalfOpen;
    health.connectFailures = 0;
}

bool takesWork(const Health &health, bool repeatable)
{
    if (health.state == HealthState::Healthy)
        return true;
    return health.state == HealthState::HalfOpen && repeatable && !health.trialUnderWay;
}

} // namespace kumquathaven::routing
