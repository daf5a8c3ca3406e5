#include "kumquathaven/limits/shares.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace kumquathaven::limits {

namespace {

// Twice the design size of 700 customers.
constexpr std::size_t maxCustomers = 1400;
constexpr double maxTokens = 1e15;
/// Interval between checks for silent peers. It is far shorter than SharesConfig::reportTimeout.
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(100);

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

bool isSilent(const Shares &shares, const PeerUse &peer, TimePoint now)
{
    return peer.updatedAt == TimePoint{} || now - peer.updatedAt > shares.config.reportTimeout;
}

double demandOfPeer(const PeerUse &peer, const std::string &customer)
{
    const auto use = peer.report.uses.find(customer);
    return use == peer.report.uses.end() ? 0.0 : use->second.demand;
}

double demandOfOthers(const Shares &shares, const std::string &customer)
{
    const auto demand = shares.countedDemand.find(customer);
    return demand == shares.countedDemand.end() ? 0.0 : demand->second;
}

/// Adds a peer's demand to the sums.
void count(Shares &shares, PeerUse &peer)
{
    ++shares.countedPeers;
    for (const auto &[customer, use] : peer.report.uses)
        shares.countedDemand[customer] += use.demand;
    peer.isCounted = true;
}

/// Subtracts a peer's demand from the sums. Demands are integers, so that no rounding error
/// remains.
void removeDemand(Shares &shares, PeerUse &peer)
{
    if (!peer.isCounted)
        return;
    --shares.countedPeers;
    for (const auto &[customer, use] : peer.report.uses)
        shares.countedDemand[customer] -= use.demand;
    peer.isCounted = false;
}

/// Subtracts the demand of silent peers from the sums.
void dropSilentPeers(Shares &shares, TimePoint now)
{
    if (now - shares.silenceCheckedAt < silenceCheckInterval)
        return;
    shares.silenceCheckedAt = now;
    for (auto &it : shares.peers) {
        if (isSilent(shares, it.second, now))
            removeDemand(shares, it.second);
    }
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
void refillPool(const Shares &shares, const std::string &customer, PooledAccount &pool,
                TimePoint now)
{
    if (pool.updatedAt == TimePoint{}) {
        pool.balance = shares.config.poolReserve * pool.limits.burst;
    } else {
        const double others =
            demandOfOthers(shares, customer) * spentPartOfDemand(shares, customer, pool, now);
        pool.balance +=
            (pool.limits.rate - others) * std::max(0.0, toSeconds(now - pool.updatedAt));
    }
    // The accounts of a customer above its rate overdraw its pool. The clamp bounds that debt.
    pool.balance = std::clamp(pool.balance, -pool.limits.burst, pool.limits.burst);
    pool.updatedAt = now;
}

/// Returns the tokens that are missing in the pool for a request of this cost. The request may be
/// charged to the pool if the result is zero or negative.
double missingInPool(const Shares &shares, const PooledAccount &pool, double cost, TimePoint now)
{
    const auto silentPeers =
        std::count_if(shares.peers.begin(), shares.peers.end(), [&](const auto &it) {
            return isSilent(shares, it.second, now);
        });
    const double others = static_cast<double>(shares.peers.size());
    // A request that is larger than the burst may be charged to a pool that is nearly full.
    const double left = std::min(shares.config.poolReserve * pool.limits.burst,
                                 shares.config.fullPoolPart * pool.limits.burst - cost);
    const double missing = left + cost - pool.balance;
    const bool isTrusted = static_cast<double>(silentPeers) <= shares.config.maxSilentPart * others;
    return isTrusted ? missing : std::max(missing, cost);
}

/// Corrects a pool by the difference between what another instance reported as spent since its last
/// report and what it was expected to spend.
void correctPool(Shares &shares, const std::string &customer, PooledAccount &pool,
                 const PeerUse &before, double spent, TimePoint now)
{
    refillPool(shares, customer, pool, now);
    const Duration unreportedTime = std::min(now - before.updatedAt, shares.config.reportTimeout);
    const double expected = demandOfPeer(before, customer) * toSeconds(unreportedTime)
        * spentPartOfDemand(shares, customer, pool, now);
    pool.balance -= spent - expected;
}

bool readUse(const nlohmann::json &value, CustomerUse &use)
{
    const bool isUse =
        value.is_array() && value.size() == 2 && value[0].is_number() && value[1].is_number();
    if (!isUse)
        return false;
    use = {value[0].get<double>(), value[1].get<double>()};
    return use.demand >= 0 && use.demand <= maxTokens && use.demand == std::floor(use.demand)
        && std::abs(use.spent) <= maxTokens;
}

} // namespace

void updatePeers(Shares &shares, const std::set<std::string> &others)
{
    for (auto it = shares.peers.begin(); it != shares.peers.end();) {
        if (others.count(it->first) > 0) {
            ++it;
            continue;
        }
        removeDemand(shares, it->second);
        it = shares.peers.erase(it);
    }
    for (const std::string &it : others)
        shares.peers.try_emplace(it);
}

void applyReport(Shares &shares, const std::string &from, UseReport report, TimePoint now)
{
    const auto peer = shares.peers.find(from);
    if (peer == shares.peers.end())
        return;
    const PeerUse &before = peer->second;
    const bool isKnown = before.updatedAt != TimePoint{};
    const bool isSameIncarnation = before.report.incarnation == report.incarnation;
    for (auto &[customer, pool] : shares.pools) {
        const auto use = report.uses.find(customer);
        const auto last = before.report.uses.find(customer);
        const double spent = use == report.uses.end() ? 0.0 : use->second.spent;
        const bool isCounted = isSameIncarnation && last != before.report.uses.end();
        // A peer's first report is not charged: what the peer spent before it has long been
        // refilled.
        if (isKnown)
            correctPool(shares, customer, pool, before,
                        spent - (isCounted ? last->second.spent : 0.0), now);
    }
    removeDemand(shares, peer->second);
    peer->second = {std::move(report), now, false};
    count(shares, peer->second);
}

UseReport makeReport(Shares &shares, TimePoint now)
{
    UseReport report;
    report.incarnation = shares.incarnation;
    for (const auto &[customer, account] : shares.accounts)
        report.uses[customer] = {std::floor(demandOf(shares, account, now)),
                                 std::round(account.spent)};
    shares.hasUnreportedSpending = false;
    return report;
}

double shareOf(const Shares &shares, const std::string &customer, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    const double own =
        account == shares.accounts.end() ? 0.0 : demandOf(shares, account->second, now);
    const double knownDemand = own + demandOfOthers(shares, customer);
    const std::size_t known = 1 + shares.countedPeers;
    const double instances = static_cast<double>(shares.peers.size() + 1);
    if (knownDemand <= 0)
        return 1 / instances;
    // Half of the rate is divided by demand and half equally, so that an instance that receives its
    // first requests already has tokens.
    const double mean = knownDemand / static_cast<double>(known);
    return (own + mean) / (2 * mean * instances);
}

SpendResult spend(Shares &shares, const std::string &customer, const BucketLimits &limits,
                  std::uint64_t tokens, TimePoint now)
{
    dropSilentPeers(shares, now);
    ShareAccount &account = shares.accounts[customer];
    PooledAccount &pool = shares.pools[customer];
    const auto cost = static_cast<double>(tokens);
    account.recentDemand = decayedDemand(shares, account, now) + cost;
    account.demandUpdatedAt = now;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account, own, now);
    pool.limits = limits;
    refillPool(shares, customer, pool, now);
    // A request that is larger than burst and debt together may be charged to a full account.
    const double minBalance = std::min(own.minBalance, own.maxBalance - cost);
    const double missing = minBalance + cost - account.balance;
    const double pooledMissing = missingInPool(shares, pool, cost, now);
    if (missing > 0 && pooledMissing > 0) {
        const Duration ownWait = fromSeconds(missing / std::max(own.rate, 1.0));
        const Duration poolWait = fromSeconds(pooledMissing / std::max(limits.rate, 1.0));
        // An overdrawn pool means that the customer is above its rate, so that its requests can
        // only be charged to the accounts.
        const Duration wait = pool.balance < 0 ? ownWait : std::min(ownWait, poolWait);
        return {std::nullopt, wait, missing, pooledMissing};
    }
    const bool isPooled = missing > 0;
    if (isPooled)
        shares.hasUnreportedSpending = true;
    else
        account.balance -= cost;
    pool.balance -= cost;
    account.spent += cost;
    return {Spending{tokens, isPooled}, Duration(0), 0, 0};
}

void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              const Spending &spending, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    if (account == shares.accounts.end())
        return;
    const auto tokens = static_cast<double>(spending.tokens);
    account->second.spent -= tokens;
    shares.pools[customer].balance += tokens;
    if (spending.isPooled)
        return;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account->second, own, now);
    account->second.balance = std::min(own.maxBalance, account->second.balance + tokens);
}

std::string encodeReport(const UseReport &report)
{
    nlohmann::json uses = nlohmann::json::object();
    for (const auto &[customer, use] : report.uses)
        uses[customer] = {use.demand, use.spent};
    return wire::toCbor({report.incarnation, uses});
}

Result<UseReport> decodeReport(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "limits.report", peer));
    UseReport report;
    bool isWellFormed = value.is_array() && value.size() == 2 && value[0].is_number_unsigned()
        && value[1].is_object() && value[1].size() <= maxCustomers;
    if (isWellFormed) {
        report.incarnation = value[0].get<std::uint64_t>();
        for (const auto &[customer, use] : value[1].items())
            isWellFormed = isWellFormed && readUse(use, report.uses[customer]);
    }
    if (!isWellFormed)
        return fail({ErrorCode::InvalidRequest,
                     "limits.report",
                     peer,
                     "malformed report of token use",
                     Outcome::NotRun,
                     {}});
    return Result<UseReport>(std::move(report));
}

} // namespace kumquathaven::limits
