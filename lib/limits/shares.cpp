#include "kumquathaven/limits/shares.h"

#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace kumquathaven::limits {

namespace {

// Twice the size designed for: 700 customers.
constexpr std::size_t maxCustomers = 1400;
constexpr double maxDemand = 1e15;

double agedAsked(const Shares &shares, const ShareAccount &account, TimePoint now)
{
    if (account.askedAt == TimePoint{})
        return 0;
    const double age = toSeconds(now - account.askedAt) / toSeconds(shares.config.demandTime);
    return account.asked * std::exp(-std::max(0.0, age));
}

double demandOf(const Shares &shares, const ShareAccount &account, TimePoint now)
{
    return agedAsked(shares, account, now) / toSeconds(shares.config.demandTime);
}

/// What the share makes of a customer's limits.
struct OwnLimits
{
    double rate = 0;
    double most = 0;
    double least = 0;
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
    if (account.at == TimePoint{})
        account.balance = own.most;
    else
        account.balance += own.rate * std::max(0.0, toSeconds(now - account.at));
    account.balance = std::min(account.balance, own.most);
    account.at = now;
}

} // namespace

void keepPeers(Shares &shares, const std::set<std::string> &others)
{
    for (auto it = shares.peers.begin(); it != shares.peers.end();)
        it = others.count(it->first) == 0 ? shares.peers.erase(it) : std::next(it);
    for (const std::string &it : others)
        shares.peers.try_emplace(it);
}

void takeDemands(Shares &shares, const std::string &from, Demands demands, TimePoint now)
{
    const auto peer = shares.peers.find(from);
    if (peer != shares.peers.end())
        peer->second = {std::move(demands), now};
}

Demands ownDemands(const Shares &shares, TimePoint now)
{
    Demands demands;
    for (const auto &[customer, account] : shares.accounts) {
        const double demand = demandOf(shares, account, now);
        if (demand >= 1)
            demands[customer] = std::floor(demand);
    }
    return demands;
}

double shareOf(const Shares &shares, const std::string &customer, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    const double own =
        account == shares.accounts.end() ? 0.0 : demandOf(shares, account->second, now);
    double heard = own;
    std::size_t known = 1;
    for (const auto &it : shares.peers) {
        if (it.second.at == TimePoint{} || now - it.second.at > shares.config.reportLife)
            continue;
        const auto demand = it.second.demands.find(customer);
        heard += demand == it.second.demands.end() ? 0.0 : demand->second;
        ++known;
    }
    const double instances = static_cast<double>(shares.peers.size() + 1);
    if (heard <= 0)
        return 1 / instances;
    // Half of the rate goes by demand and half in equal parts, so that an instance whose demand
    // begins has something to begin with.
    const double mean = heard / static_cast<double>(known);
    return (own + mean) / (2 * mean * instances);
}

std::optional<Duration> spend(Shares &shares, const std::string &customer,
                              const BucketLimits &limits, std::uint64_t tokens, TimePoint now)
{
    ShareAccount &account = shares.accounts[customer];
    const auto cost = static_cast<double>(tokens);
    account.asked = agedAsked(shares, account, now) + cost;
    account.askedAt = now;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account, own, now);
    // A request that is larger than burst and debt together runs from a full account.
    const double least = std::min(own.least, own.most - cost);
    if (account.balance - cost >= least) {
        account.balance -= cost;
        return std::nullopt;
    }
    return fromSeconds((least + cost - account.balance) / std::max(own.rate, 1.0));
}

void giveBack(Shares &shares, const std::string &customer, const BucketLimits &limits,
              std::uint64_t tokens, TimePoint now)
{
    const auto account = shares.accounts.find(customer);
    if (account == shares.accounts.end())
        return;
    const OwnLimits own = ownLimits(shares, customer, limits, now);
    refill(account->second, own, now);
    account->second.balance =
        std::min(own.most, account->second.balance + static_cast<double>(tokens));
}

std::string encodeDemands(const Demands &demands)
{
    return wire::toCbor(nlohmann::json(demands));
}

Result<Demands> decodeDemands(std::string_view bytes, const std::string &peer)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "limits.demands", peer));
    Demands demands;
    bool isWellFormed = value.is_object() && value.size() <= maxCustomers;
    if (isWellFormed) {
        for (const auto &[customer, demand] : value.items()) {
            const double n = demand.is_number() ? demand.get<double>() : -1;
            isWellFormed = isWellFormed && n >= 0 && n <= maxDemand;
            demands[customer] = n;
        }
    }
    if (!isWellFormed)
        return fail({ErrorCode::InvalidRequest,
                     "limits.demands",
                     peer,
                     "not the demands of an instance",
                     Outcome::NotRun,
                     {}});
    return Result<Demands>(std::move(demands));
}

} // namespace kumquathaven::limits
