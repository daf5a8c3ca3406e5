// A customer's rate over all instances, shared by the demand that each instance sees.
//
// Every instance tells the others what each customer asks of it and what it spent. It refills its
// own account with the part of the rate that falls to it, and keeps a pool of what all instances
// are known to have spent. A request runs from the account; if that is too small for it, as it is
// for large requests where there are many instances, from the pool as long as much of the burst is
// left there. No instance waits for another, so that limits go on while instances come and go; in
// exchange the bound holds up to the accounts' burst and debt, and up to what instances have not
// told each other yet. Where the exact bound is worth a round trip, slices granted by a home
// (spender.h) give it.

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

/// Times and parts of the shares.
struct SharesConfig
{
    /// Demand is averaged over about this time: long enough for requests of seconds' worth of an
    /// instance's share, short against the windows over which customers are limited.
    Duration demandWindow = std::chrono::seconds(2);
    /// An instance that was not heard for this long is taken to see as much as the others do.
    Duration reportTimeout = std::chrono::seconds(3);
    /// An account holds at most this part of its share of the burst.
    double burstPart = 0.5;
    /// A request runs from the pool while this part of the burst is left there: room for what
    /// instances spend until they have heard of each other.
    double poolReserve = 0.5;
    /// The part of the burst from which a pool counts as full, since some of it is always spent.
    double fullPoolPart = 0.9;
    /// The pool is not trusted if more than this part of the other instances is silent.
    double maxSilentPart = 0.25;
    /// An account may fall below zero by what its share refills in this time, so that a request
    /// that is larger than the share of the burst can run.
    Duration debtTime = std::chrono::seconds(1);
    /// Tokens that all instances together may overdraw besides, by their shares. A request of a
    /// small customer may be larger than what an instance's share refills in seconds.
    double debtTokens = 0;
};

/// What one customer does at one instance.
struct CustomerUse
{
    /// What it asks for, in tokens a second.
    double demand = 0;
    /// Tokens spent since the instance started, less those given back.
    double spent = 0;
};

/// What an instance tells of all customers that it has seen.
struct UseReport
{
    /// Differs for each start of the instance: what it spent is counted from zero again.
    std::uint64_t incarnation = 0;
    std::map<std::string, CustomerUse> uses;
};

/// One customer's account on this instance.
struct ShareAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// Moving sum of what was asked for.
    double recentDemand = 0;
    TimePoint demandUpdatedAt{};
    /// Since this instance started.
    double spent = 0;
};

/// What all instances together may still spend for a customer, as far as this one knows: what the
/// others have not told yet is expected to go on as they told last, and put right by their reports.
struct PooledAccount
{
    double balance = 0;
    TimePoint updatedAt{};
    /// The customer's limits when this instance last served it.
    BucketLimits limits;
};

/// What another instance told last.
struct PeerUse
{
    UseReport report;
    /// The default: it was never heard.
    TimePoint updatedAt{};
    /// Whether its demands are in the sums over the others.
    bool isCounted = false;
};

/// State of one instance.
struct Shares
{
    SharesConfig config;
    std::uint64_t incarnation = 0;
    std::map<std::string, ShareAccount> accounts;
    std::map<std::string, PooledAccount> pools;
    /// The other live instances, whether heard or not.
    std::map<std::string, PeerUse> peers;
    /// Sums over the others that are not silent: how many they are, and what they are asked for by
    /// customer. Kept with each report, since summing anew for each request would take a large part
    /// of a small instance's processor where there are dozens.
    std::size_t countedPeers = 0;
    std::map<std::string, double> countedDemand;
    TimePoint silenceCheckedAt{};
    /// Something was spent from a pool that the others have not been told.
    bool hasUnreportedSpending = false;
};

/// What a request was given.
struct Spending
{
    std::uint64_t tokens = 0;
    /// From the pool rather than from the account.
    bool isPooled = false;
};

/// Whether a request may run.
struct SpendResult
{
    /// Empty if it may not.
    std::optional<Spending> spending;
    /// Time after which the tokens are expected to be there.
    Duration wait{0};
    /// Where it may not run: the tokens that the account and the pool lack for it.
    double missing = 0;
    double pooledMissing = 0;
};

/// Sets which other instances live.
void updatePeers(Shares &shares, const std::set<std::string> &others);

/// Takes what another instance told. One that does not live, as far as is known, changes nothing.
void applyReport(Shares &shares, const std::string &from, UseReport report, TimePoint now);

/// Returns what this instance tells the others, who then know all that it spent.
UseReport makeReport(Shares &shares, TimePoint now);

/// Returns the part of a customer's rate that falls to this instance, from 0 to 1.
double shareOf(const Shares &shares, const std::string &customer, TimePoint now);

/// Takes tokens for a request from a customer's account, or else from the pool.
SpendResult spend(Shares &shares, const std::string &customer, const BucketLimits &limits,
                  std::uint64_t tokens, TimePoint now);

/// Gives back what a request got that did not run.
void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              const Spending &spending, TimePoint now);

/// Reports as CBOR, and back. The error is InvalidRequest and names \p peer.
std::string encodeReport(const UseReport &report);
Result<UseReport> decodeReport(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SHARES_H
