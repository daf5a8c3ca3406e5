// A customer's rate over all instances, shared by the demand that each instance sees.
//
// Every instance tells the others what each customer asks of it, and refills its own account with
// the part of the rate that falls to it. No instance waits for another, so that limits go on while
// instances come and go; in exchange the bound holds up to the accounts' burst and debt, and while
// demand moves between instances up to what they have not told yet. Where the exact bound is worth
// a round trip, slices granted by a home (spender.h) give it.

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
    Duration demandTime = std::chrono::seconds(2);
    /// An instance that was not heard for this long is taken to see as much as the others do.
    Duration reportLife = std::chrono::seconds(3);
    /// An account holds at most this part of its share of the burst.
    double burstPart = 0.6;
    /// An account may fall below zero by what its share refills in this time, so that a request
    /// that is larger than the share of the burst can run.
    Duration debtTime = std::chrono::seconds(1);
    /// Tokens that all instances together may overdraw besides, by their shares. A request of a
    /// small customer may be larger than what an instance's share refills in seconds.
    double debtTokens = 0;
};

/// What each customer asks of an instance, in tokens a second.
using Demands = std::map<std::string, double>;

/// One customer's account on this instance.
struct ShareAccount
{
    double balance = 0;
    TimePoint at{};
    /// Moving sum of what was asked for.
    double asked = 0;
    TimePoint askedAt{};
};

/// What another instance told.
struct PeerDemand
{
    Demands demands;
    TimePoint at{};
};

/// State of one instance.
struct Shares
{
    SharesConfig config;
    std::map<std::string, ShareAccount> accounts;
    /// The other live instances, whether heard or not.
    std::map<std::string, PeerDemand> peers;
};

/// Sets which other instances live.
void keepPeers(Shares &shares, const std::set<std::string> &others);

/// Takes what another instance told. One that does not live, as far as is known, changes nothing.
void takeDemands(Shares &shares, const std::string &from, Demands demands, TimePoint now);

/// Returns what this instance tells the others.
Demands ownDemands(const Shares &shares, TimePoint now);

/// Returns the part of a customer's rate that falls to this instance, from 0 to 1.
double shareOf(const Shares &shares, const std::string &customer, TimePoint now);

/// Takes tokens from a customer's account. Returns nothing if they were there, else the time after
/// which they are expected to be, and takes none.
std::optional<Duration> spend(Shares &shares, const std::string &customer,
                              const BucketLimits &limits, std::uint64_t tokens, TimePoint now);

/// Gives back tokens of a request that did not run.
void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              std::uint64_t tokens, TimePoint now);

/// Demands as CBOR, and back. The error is InvalidRequest and names \p peer.
std::string encodeDemands(const Demands &demands);
Result<Demands> decodeDemands(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_SHARES_H
