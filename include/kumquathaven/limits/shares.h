// Divides a customer's rate between all instances according to the demand that each sees.
//
// Every instance knows how many tokens a customer requests and spends at all other instances
// together. It refills its own account of a customer with its share of the rate, and keeps an
// estimate of a pool from which the spending of all instances is deducted. A request is charged to
// the account. If the account is too small, as for large requests where there are many instances,
// the request is charged to the pool while enough of the burst is left there.
//
// No instance waits for another, so that the limits keep working while instances start and depart.
// In exchange the limit can be exceeded by the accounts' burst and debt, and by spending that has
// not been reported yet. Slices granted by a home (spender.h) hold the limit exactly, at the price
// of a round trip.

#ifndef KUMQUATHAVEN_LIMITS_SHARES_H
#define KUMQUATHAVEN_LIMITS_SHARES_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquathaven::limits {

/// Configuration of the shares. Parts are fractions from 0 to 1.
struct SharesConfig
{
    /// Time constant of the average over demand. It is long enough for requests that cost as much
    /// as an instance's share refills in seconds, and short against the windows over which
    /// customers are limited.
    Duration demandWindow = std::chrono::seconds(2);
    /// Time until an instance knows what others have spent. What they spend in this time is assumed
    /// from their demand.
    Duration reportDelay = std::chrono::milliseconds(250);
    /// The largest part of an instance's share of the burst that its account may hold.
    double burstPart = 0.5;
    /// The part of the burst that must stay in the pool when a request is charged to it. It covers
    /// what instances spend until they know of each other's spending.
    double poolReserve = 0.5;
    /// The part of the burst at which a pool counts as full, since some of it is always spent.
    double fullPoolPart = 0.9;
    /// No request is charged to the pool if the demand and spending of more than this part of the
    /// other instances is unknown.
    double maxUnknownPart = 0.25;
    /// An account may be overdrawn by what its share refills in this time, so that a request that
    /// is larger than the share of the burst can run.
    Duration debtTime = std::chrono::seconds(1);
    /// Further tokens that the accounts of all instances together may be overdrawn by, divided by
    /// their shares. A request of a small customer may be larger than what an instance's share
    /// refills in seconds.
    double debtTokens = 0;
};

/// One customer's account on this instance.
struct ShareAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// Exponentially decayed sum of the tokens that requests needed.
    double recentDemand = 0;
    TimePoint demandUpdatedAt{};
};

/// This instance's estimate of what all instances together may still spend for a customer.
struct PooledAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// The customer's limits at its last request to this instance.
    BucketLimits limits;
};

/// The state of one instance. Accounts, pools and demand are keyed by customer.
struct Shares
{
    SharesConfig config;
    std::map<std::string, ShareAccount> accounts;
    std::map<std::string, PooledAccount> pools;
    /// Number of all live instances including this one, and of those among them whose demand and
    /// spending are known here, including this one.
    std::size_t instances = 1;
    std::size_t knownInstances = 1;
    /// Demand at all other known instances together, in tokens per second.
    std::map<std::string, double> demandOfOthers;
    /// Tokens spent here that the other instances were not told yet, minus those given back.
    std::map<std::string, double> unreportedSpending;
};

/// The tokens that a request was charged.
struct Spending
{
    std::uint64_t tokens = 0;
    /// Whether the pool was charged rather than the account.
    bool isPooled = false;
};

/// The decision on whether a request may run.
struct SpendResult
{
    /// The charge. Empty if the request may not run.
    std::optional<Spending> spending;
    /// The expected time until the tokens are available.
    Duration wait{0};
    /// If the request may not run, the tokens that are missing in the account and in the pool.
    double missing = 0;
    double pooledMissing = 0;
};

/// Sets the number of live instances, and of those whose demand and spending are known, each
/// including this one.
void setInstances(Shares &shares, std::size_t instances, std::size_t known);

/// Sets the demand at all other instances together, in tokens per second.
void setDemandOfOthers(Shares &shares, const std::string &customer, double tokensPerSecond);

/// Applies tokens that other instances have spent, or given back if \p tokens is negative.
void applySpendingOfOthers(Shares &shares, const std::string &customer, double tokens,
                           TimePoint now);

/// Returns the demand of each customer at this instance, in whole tokens per second.
std::map<std::string, std::int64_t> ownDemand(const Shares &shares, TimePoint now);

/// Returns the whole tokens that were spent here since the last call, and marks them as reported.
std::map<std::string, std::int64_t> takeUnreportedSpending(Shares &shares);

/// Returns the part of a customer's rate that falls to this instance, from 0 to 1.
double shareOf(const Shares &shares, const std::string &customer, TimePoint now);

/// Charges a request's tokens to the customer's account, or else to the pool.
SpendResult spend(Shares &shares, const std::string &customer, const BucketLimits &limits,
                  std::uint64_t tokens, TimePoint now);

/// Gives back the tokens of a request that did not run.
void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              const Spending &spending, TimePoint now);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SHARES_H
