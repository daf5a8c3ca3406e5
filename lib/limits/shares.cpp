#include "kumquathaven/limits/shares.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::limits {

namespace {

double decayedDemand(const Shares &shares, const ShareAccount &account, TimePoint now)
{
    if (account.demandUpdatedAt == TimePoint{})
        return 0;
    const double age =
        toSeconds(now - account.demandUpdatedAt) / toSeconds(shares.config.demandWindow);
    return account.recentDemand * std::exp(-std::max(0.0, age));
}

double demandOf(const Shares &shares, const ShareAccount &account, TimePoint now)
{
    return decayedDemand(shares, account, now) / toSeconds(shares.config.demandWindow);
}

/// The limits of a customer's account on this instance. The rate is in tokens per second, balances
/// are in tokens.
struct OwnLimits
{
    double rate = 0;
    double maxBalance = 0;
    double minBalance = 0;
};

OwnLimits ownLimits(const Shares &shares, const std::string &customer, const BucketLimits &limits,
                    TimePoint now)
{
    const double share = shareOf(shares, customer, now);
    const double rate = limits.rate * share;
    return {rate, limits.burst * share * shares.config.burstPart,
            -rate * toSeconds(shares.config.debtTime) - shares.config.debtTokens * share};
}

void refill(ShareAccount &account, const OwnLimits &own, TimePoint now)
{
    if (account.updatedAt == TimePoint{})
        account.balance = own.maxBalance;
    else
        account.balance += own.rate * std::max(0.0, toSeconds(now - account.updatedAt));
    account.balance = std::min(account.balance, own.maxBalance);
    account.updatedAt = now;
}

double demandOfOthers(const Shares &shares, const std::string &customer)
{
    const auto demand = shares.demandOfOthers.find(customer);
    return demand == shares.demandOfOthers.end() ? 0.0 : demand->second;
}

/// Returns the part of the other instances' demand that they are expected to spend. All instances
/// together are expected to spend no more than the customer's rate.
double spentPartOfDemand(const Shares &shares, const std::string &customer,
                         const PooledAccount &pool, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    const double own =
        account == shares.accounts.end() ? 0.0 : demandOf(shares, account->second, now);
    const double demand = own + demandOfOthers(shares, customer);
    return demand <= pool.limits.rate ? 1.0 : pool.limits.rate / demand;
}

/// Refills a pool up to the present time. A new pool starts at the reserve, which is never charged,
/// since the others' recent spending is not known yet.
void refillPool(const Shares &shares, PooledAccount &pool, TimePoint now)
{
    if (pool.updatedAt == TimePoint{})
        pool.balance = shares.config.poolReserve * pool.limits.burst;
    else
        pool.balance += pool.limits.rate * std::max(0.0, toSeconds(now - pool.updatedAt));
    // The accounts of a customer above its rate overdraw its pool. The clamp bounds that debt.
    pool.balance = std::clamp(pool.balance, -pool.limits.burst, pool.limits.burst);
    pool.updatedAt = now;
}

/// Returns the tokens that are missing in the pool for a request of this cost. The request may be
/// charged to the pool if the result is zero or negative.
double missingInPool(const Shares &shares, const std::string &customer, const PooledAccount &pool,
                     double cost, TimePoint now)
{
    // What others have spent and is not known yet.
    const double unknown = demandOfOthers(shares, customer)
        * spentPartOfDemand(shares, customer, pool, now) * toSeconds(shares.config.reportDelay);
    // A request that is larger than the burst may be charged to a pool that is nearly full.
    const double left = std::min(shares.config.poolReserve * pool.limits.burst,
                                 shares.config.fullPoolPart * pool.limits.burst - cost);
    const double missing = left + cost + unknown - pool.balance;
    const auto others = static_cast<double>(shares.instances - 1);
    const double unknownOthers = others - static_cast<double>(shares.knownInstances - 1);
    const bool isTrusted = unknownOthers <= shares.config.maxUnknownPart * others;
    return isTrusted ? missing : std::max(missing, cost);
}

} // namespace

void setInstances(Shares &shares, std::size_t instances, std::size_t known)
{
    shares.instances = std::max<std::size_t>(1, instances);
    // Instances that are about to leave or have just started may be connected but not counted.
    shares.knownInstances = std::clamp<std::size_t>(known, 1, shares.instances);
}

void setDemandOfOthers(Shares &shares, const std::string &customer, double tokensPerSecond)
{
    if (tokensPerSecond > 0)
        shares.demandOfOthers[customer] = tokensPerSecond;
    else
        shares.demandOfOthers.erase(customer);
}

void applySpendingOfOthers(Shares &shares, const std::string &customer, double tokens,
                           TimePoint now)
{
    const auto pool = shares.pools.find(customer);
    if (pool == shares.pools.end())
        return;
    refillPool(shares, pool->second, now);
    pool->second.balance -= tokens;
}

std::map<std::string, std::int64_t> ownDemand(const Shares &shares, TimePoint now)
{
    std::map<std::string, std::int64_t> demand;
    for (const auto &[customer, account] : shares.accounts)
        demand[customer] = static_cast<std::int64_t>(demandOf(shares, account, now));
    return demand;
}

std::map<std::string, std::int64_t> takeUnreportedSpending(Shares &shares)
{
    std::map<std::string, std::int64_t> spending;
    for (auto &[customer, tokens] : shares.unreportedSpending) {
        const double whole = std::trunc(tokens);
        if (whole == 0)
            continue;
        spending[customer] = static_cast<std::int64_t>(whole);
        tokens -= whole;
    }
    return spending;
}

double shareOf(const Shares &shares, const std::string &customer, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    const double own =
        account == shares.accounts.end() ? 0.0 : demandOf(shares, account->second, now);
    const double knownDemand = own + demandOfOthers(shares, customer);
    const auto instances = static_cast<double>(shares.instances);
    if (knownDemand <= 0)
        return 1 / instances;
    // Half of the rate is divided by demand and half equally, so that an instance that receives its
    // first requests already has tokens.
    const double mean = knownDemand / static_cast<double>(shares.knownInstances);
    return (own + mean) / (2 * mean * instances);
}

SpendResult spend(Shares &shares, const std::string &customer, const BucketLimits &limits,
                  std::uint64_t tokens, TimePoint now)
{
    ShareAccount &account = shares.accounts[customer];
    PooledAccount &pool = shares.pools[customer];
    const auto cost = static_cast<double>(tokens);
    account.recentDemand = decayedDemand(shares, account, now) + cost;
    account.demandUpdatedAt = now;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account, own, now);
    pool.limits = limits;
    refillPool(shares, pool, now);
    // A request that is larger than burst and debt together may be charged to a full account.
    const double minBalance = std::min(own.minBalance, own.maxBalance - cost);
    const double missing = minBalance + cost - account.balance;
    const double pooledMissing = missingInPool(shares, customer, pool, cost, now);
    if (missing > 0 && pooledMissing > 0) {
        const Duration ownWait = fromSeconds(missing / std::max(own.rate, 1.0));
        const Duration poolWait = fromSeconds(pooledMissing / std::max(limits.rate, 1.0));
        // An overdrawn pool means that the customer is above its rate, so that its requests can
        // only be charged to the accounts.
        const Duration wait = pool.balance < 0 ? ownWait : std::min(ownWait, poolWait);
        return {std::nullopt, wait, missing, pooledMissing};
    }
    const bool isPooled = missing > 0;
    if (!isPooled)
        account.balance -= cost;
    pool.balance -= cost;
    shares.unreportedSpending[customer] += cost;
    return {Spending{tokens, isPooled}, Duration(0), 0, 0};
}

void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              const Spending &spending, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    if (account == shares.accounts.end())
        return;
    const auto tokens = static_cast<double>(spending.tokens);
    shares.unreportedSpending[customer] -= tokens;
    shares.pools[customer].balance += tokens;
    if (spending.isPooled)
        return;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account->second, own, now);
    account->second.balance = std::min(own.maxBalance, account->second.balance + tokens);
}

} // namespace kumquathaven::limits
