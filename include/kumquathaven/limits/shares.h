// Divides a customer's rate between all instances according to the demand that each sees.
//
// Every instance reports to the others how many tokens each customer requests and spends there. It
// refills its own account of a customer with its share of the rate, and keeps an estimate of a pool
// from which the spending of all instances is deducted. A request is charged to the account. If the
// account is too small, as for large requests where there are many instances, the request is
// charged to the pool while enough of the burst is left there.
//
// No instance waits for another, so that the limits keep working while instances start and depart.
// In exchange the limit can be exceeded by the accounts' burst and debt, and by spending that has
// not been reported yet. Slices granted by a home (spender.h) hold the limit exactly, at the price
// of a round trip.

#ifndef KUMQUATHAVEN_LIMITS_SHARES_H
#define KUMQUATHAVEN_LIMITS_SHARES_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/limits/config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace kumquathaven::limits {

/// Configuration of the shares. Parts are fractions from 0 to 1.
struct SharesConfig
{
    /// Time constant of the average over demand. It is long enough for requests that cost as much
    /// as an instance's share refills in seconds, and short against the windows over which
    /// customers are limited.
    Duration demandWindow = std::chrono::seconds(2);
    /// An instance whose last report is older than this counts as silent. It is assumed to see as
    /// much demand as the others on average.
    Duration reportTimeout = std::chrono::seconds(3);
    /// The largest part of an instance's share of the burst that its account may hold.
    double burstPart = 0.5;
    /// The part of the burst that must stay in the pool when a request is charged to it. It covers
    /// what instances spend until they have received each other's reports.
    double poolReserve = 0.5;
    /// The part of the burst at which a pool counts as full, since some of it is always spent.
    double fullPoolPart = 0.9;
    /// No request is charged to the pool if more than this part of the other instances is silent.
    double maxSilentPart = 0.25;
    /// An account may be overdrawn by what its share refills in this time, so that a request that
    /// is larger than the share of the burst can run.
    Duration debtTime = std::chrono::seconds(1);
    /// Further tokens that the accounts of all instances together may be overdrawn by, divided by
    /// their shares. A request of a small customer may be larger than what an instance's share
    /// refills in seconds.
    double debtTokens = 0;
};

/// One customer's use of one instance.
struct CustomerUse
{
    /// Tokens per second that its requests need, whether they run or not.
    double demand = 0;
    /// Tokens spent since the instance started, minus those given back.
    double spent = 0;
};

/// An instance's report of all customers whose requests it has received.
struct UseReport
{
    /// Differs for each start of the instance, which counts its spending from zero again.
    std::uint64_t incarnation = 0;
    std::map<std::string, CustomerUse> uses;
};

/// One customer's account on this instance.
struct ShareAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// Exponentially decayed sum of the tokens that requests needed.
    double recentDemand = 0;
    TimePoint demandUpdatedAt{};
    /// Tokens spent since this instance started, minus those given back.
    double spent = 0;
};

/// This instance's estimate of what all instances together may still spend for a customer. Between
/// reports the others are assumed to keep spending at the rate of their last report; the next
/// report corrects the estimate.
struct PooledAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// The customer's limits at its last request to this instance.
    BucketLimits limits;
};

/// The last report of another instance.
struct PeerUse
{
    UseReport report;
    /// When the report was received. The default means that none has been received.
    TimePoint updatedAt{};
    /// Whether the demand in the report is included in Shares::countedDemand.
    bool isCounted = false;
};

/// The state of one instance. Accounts, pools and demand are keyed by customer.
struct Shares
{
    SharesConfig config;
    std::uint64_t incarnation = 0;
    std::map<std::string, ShareAccount> accounts;
    std::map<std::string, PooledAccount> pools;
    /// The other live instances by name, including those that have not reported yet.
    std::map<std::string, PeerUse> peers;
    /// The number of other instances that are not silent and the sum of their demand. Updated with
    /// each report, since summing again for each request would take a large part of a small
    /// instance's processor time where there are dozens of instances.
    std::size_t countedPeers = 0;
    std::map<std::string, double> countedDemand;
    TimePoint silenceCheckedAt{};
    /// Whether a request was charged to a pool since the last report.
    bool hasUnreportedSpending = false;
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

/// Sets the names of the other live instances.
void updatePeers(Shares &shares, const std::set<std::string> &others);

/// Applies a report of another instance. A report of an instance that updatePeers() did not name is
/// ignored.
void applyReport(Shares &shares, const std::string &from, UseReport report, TimePoint now);

/// Returns this instance's report to the others, and marks its spending as reported.
UseReport makeReport(Shares &shares, TimePoint now);

/// Returns the part of a customer's rate that falls to this instance, from 0 to 1.
double shareOf(const Shares &shares, const std::string &customer, TimePoint now);

/// Charges a request's tokens to the customer's account, or else to the pool.
SpendResult spend(Shares &shares, const std::string &customer, const BucketLimits &limits,
                  std::uint64_t tokens, TimePoint now);

/// Gives back the tokens of a request that did not run.
void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              const Spending &spending, TimePoint now);

/// Encodes a report as CBOR.
std::string encodeReport(const UseReport &report);
/// Decodes a report. If it is malformed the error is InvalidRequest and names \p peer.
Result<UseReport> decodeReport(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SHARES_H
