#include "account.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::limits {

namespace {

/// Time constant of the average over a bucket's use.
constexpr double usageWindowSeconds = 4.0;
/// Weight of the newest request in the average cost of requests.
constexpr double costWeight = 0.2;
/// Accounts whose last request to the home is older than this are dropped if they hold no tokens.
constexpr Duration maxIdleTime = std::chrono::seconds(10);

} // namespace

std::uint64_t unspent(const Account &account)
{
    const std::uint64_t used = account.spent + account.returned + account.reserved;
    return account.granted > used ? account.granted - used : 0;
}

std::uint64_t spendable(const Account &account, TimePoint now)
{
    return now < account.validUntil ? unspent(account) : 0;
}

void decayUsage(Account &account, TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - account.usageAt));
    account.usage *= std::exp(-elapsed / usageWindowSeconds);
    account.usageAt = now;
}

void addUsage(Account &account, std::uint64_t tokens, TimePoint now)
{
    decayUsage(account, now);
    const auto cost = static_cast<double>(tokens);
    account.usage += cost / usageWindowSeconds;
    account.requestCost +=
        (cost - account.requestCost) * (account.requestCost > 0 ? costWeight : 1);
}

std::uint64_t sliceSize(const Spender &spender, const Account &account)
{
    const double slice = account.usage * toSeconds(spender.config.sliceHorizon);
    return slice < account.requestCost ? 0 : static_cast<std::uint64_t>(slice);
}

Shortage shortageOf(const Spender &spender, const Account &account, TimePoint now)
{
    const std::uint64_t available = spendable(account, now);
    Shortage shortage;
    std::uint64_t sum = 0;
    for (const std::uint64_t id : account.waiting) {
        sum += spender.reservations.at(id).cost.total();
        if (sum > available && shortage.first == 0)
            shortage.first = sum - available;
    }
    shortage.all = sum > available ? sum - available : 0;
    return shortage;
}

void sendTokenRequest(Spender &spender, const std::string &bucket, Account &account, TimePoint now,
                      Effects &effects)
{
    if (account.group.empty())
        return;
    decayUsage(account, now);
    const Shortage shortage = shortageOf(spender, account, now);
    const std::uint64_t slice = sliceSize(spender, account);
    const std::uint64_t left = shortage.all > 0 ? 0 : spendable(account, now);
    TokenRequest tokenRequest;
    tokenRequest.bucket = bucket;
    tokenRequest.term = account.term;
    tokenRequest.incarnation = spender.incarnation;
    tokenRequest.session = account.session;
    tokenRequest.sequence = ++account.sequence;
    tokenRequest.carried = account.carried;
    tokenRequest.spent = account.spent;
    tokenRequest.returned = account.returned;
    tokenRequest.waived = account.waived;
    tokenRequest.reserved = account.reserved;
    tokenRequest.first = shortage.first;
    tokenRequest.need = shortage.all;
    tokenRequest.want = shortage.all + (slice > left ? slice - left : 0);
    tokenRequest.homeIsSilent = account.unanswered > 1;
    account.sentAt[tokenRequest.sequence % account.sentAt.size()] = now;
    account.lastSentAt = now;
    account.retryAt = {};
    account.requestedTotal = account.granted + shortage.all;
    account.dirty = false;
    account.refillBlocked = false;
    effects.messages.push_back({account.group[account.target].name, tokenRequest});
}

void openSession(Spender &spender, Account &account, const Term &term, bool carries, TimePoint now)
{
    account.carried = carries && now < account.validUntil ? unspent(account) + account.reserved : 0;
    if (account.carried == 0) {
        account.possibleRefunds.clear();
        account.reserved = 0;
        account.validUntil = {};
    }
    account.term = term;
    account.session = ++spender.lastSession;
    account.granted = account.carried;
    account.spent = 0;
    account.returned = 0;
    account.waived = 0;
    account.confirmed = false;
    account.sequence = 0;
    account.lastAnswered = 0;
}

Account &accountOf(Spender &spender, const std::string &bucket, TimePoint now)
{
    auto [it, inserted] = spender.accounts.try_emplace(bucket);
    Account &account = it->second;
    if (inserted) {
        account.usageAt = now;
        openSession(spender, account, {}, false, now);
    }
    if (spender.instances && account.groupEpoch != spender.instances->epoch) {
        std::vector<GroupMember> members = groupMembers(*spender.instances, bucket);
        account.groupEpoch = spender.instances->epoch;
        if (!(members == account.group)) {
            account.group = std::move(members);
            account.target = 0;
            account.unanswered = 0;
        }
    }
    return account;
}

std::uint64_t waiveRefunds(Account &account, std::uint64_t tokens)
{
    std::uint64_t dropped = 0;
    while (dropped < tokens && !account.possibleRefunds.empty()) {
        const auto oldest = account.possibleRefunds.begin();
        const std::uint64_t part = std::min(tokens - dropped, oldest->second);
        oldest->second -= part;
        dropped += part;
        if (oldest->second == 0)
            account.possibleRefunds.erase(oldest);
    }
    account.reserved -= dropped;
    return dropped;
}

bool isAwaitingAnswer(const Account &account)
{
    return account.lastAnswered < account.sequence;
}

void returnUnspent(Account &account, std::uint64_t keep)
{
    const std::uint64_t tokens = unspent(account);
    if (tokens <= keep)
        return;
    account.returned += tokens - keep;
    account.dirty = true;
}

void switchToNextMember(Account &account)
{
    ++account.unanswered;
    if (account.unanswered > 1 && !account.group.empty())
        account.target = (account.target + 1) % static_cast<std::uint32_t>(account.group.size());
}

bool isIdle(const Account &account, TimePoint now)
{
    return account.waiting.empty() && account.possibleRefunds.empty() && unspent(account) == 0
        && !account.dirty && now - account.lastSentAt >= maxIdleTime;
}

} // namespace kumquathaven::limits
