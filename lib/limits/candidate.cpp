// The election of a bucket's home. A majority of the present group promises to follow no older
// term, and a majority of the last group that had a home reports how many tokens are unspent.

#include "bucket.h"

#include <algorithm>
#include <set>

namespace kumquathaven::limits {

namespace {

/// The maximum interval at which a candidate resends Prepare.
constexpr Duration maxResendInterval = std::chrono::milliseconds(480);
/// A candidate that is younger than this tells spenders to retry soon, since it still expects
/// promises.
constexpr Duration quickStart = std::chrono::milliseconds(250);
/// A candidate that cannot follow the history to the newest state within this time sends Prepare to
/// every entry.
constexpr Duration historyTimeout = std::chrono::milliseconds(50);

bool majorityPromised(const Bucket &bucket, const Group &group)
{
    std::size_t count = 0;
    for (const GroupMember &member : group.members) {
        const auto it = bucket.promises.find(member.name);
        if (it != bucket.promises.end() && it->second.incarnation == member.incarnation)
            ++count;
    }
    return count >= majorityOf(group.members);
}

/// Returns whether a member of the group holds state from a home of that group.
bool hadHome(const Bucket &bucket, const Group &group)
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const GroupMember &member) {
        const auto it = bucket.promises.find(member.name);
        return it != bucket.promises.end() && it->second.held.term.epoch >= group.formedEpoch;
    });
}

/// Returns whether a member has seen the epoch in which the present group formed. Its promise then
/// contains the history of groups, unless that has a gap.
bool hasSeenGroup(const Bucket &bucket, const Promise &promise)
{
    return promise.epoch >= bucket.group.formedEpoch;
}

/// Returns whether a member reported a history of groups without a gap up to the present one.
bool hasHistoryToGroup(const Bucket &bucket, const Promise &promise)
{
    return hasSeenGroup(bucket, promise) && !promise.history.empty()
        && promise.history.front().members == bucket.group.members;
}

/// Returns whether the promises contain the newest state of the last group in the history that had
/// a home.
bool provesNewestState(const Bucket &bucket, const std::vector<Group> &history)
{
    for (const Group &group : history) {
        if (!majorityPromised(bucket, group))
            return false;
        if (hadHome(bucket, group))
            return true;
    }
    return false;
}

/// Returns whether the promises contain the newest state of the bucket. Members saw the groups form
/// at different epochs, so that one member's history may show a home where another's does not.
bool isNewestStateKnown(const Bucket &bucket)
{
    const std::vector<Group> own =
        bucket.history.empty() ? std::vector<Group>{bucket.group} : bucket.history;
    return provesNewestState(bucket, own)
        || std::any_of(bucket.promises.begin(), bucket.promises.end(), [&](const auto &it) {
               return hasHistoryToGroup(bucket, it.second)
                   && provesNewestState(bucket, it.second.history);
           });
}

const Promise &newestPromise(const Bucket &bucket)
{
    const auto isOlderState = [](const auto &a, const auto &b) {
        const HeldState &first = a.second.held;
        const HeldState &second = b.second.held;
        return first.term < second.term
            || (first.term == second.term && first.version < second.version);
    };
    return std::max_element(bucket.promises.begin(), bucket.promises.end(), isOlderState)->second;
}

/// Returns whether every entry has promised.
bool allEntriesPromised(const Keeper &keeper, const Bucket &bucket)
{
    return std::all_of(keeper.incarnations.begin(), keeper.incarnations.end(), [&](const auto &it) {
        const auto promise = bucket.promises.find(it.first);
        return promise != bucket.promises.end() && promise->second.incarnation == it.second;
    });
}

/// Returns whether every process that ever acted has promised or ended, and none knows a newer
/// epoch. Entries that know a newer epoch may have granted tokens to instances unknown here.
bool everyProcessPromisedOrEnded(const Keeper &keeper, const Bucket &bucket)
{
    return keeper.othersEnded && allEntriesPromised(keeper, bucket)
        && std::all_of(bucket.promises.begin(), bucket.promises.end(), [&](const auto &it) {
               return hasSeenGroup(bucket, it.second) && it.second.epoch <= keeper.epoch;
           });
}

bool noMemberHoldsState(const Bucket &bucket)
{
    return std::all_of(bucket.promises.begin(), bucket.promises.end(), [](const auto &it) {
        return it.second.held.term == Term{};
    });
}

/// Returns the time by which every earlier home has stopped and every session with it has expired.
TimePoint earlierHomesEndAt(const Keeper &keeper, const Bucket &bucket)
{
    const Config &config = keeper.config;
    return bucket.groupLearnedAt + config.freshnessBound + config.sessionLife
        + 2 * config.driftMargin;
}

void start(Keeper &keeper, const std::string &name, Bucket &bucket, const HeldState &state,
           Duration age, TimePoint now, Effects &effects)
{
    const double room = std::max(0.0, bucket.limits.burst - state.outstanding);
    bucket.level = std::min(room, state.level + bucket.limits.rate * toSeconds(age));
    bucket.refilledAt = now;
    bucket.legacyOutstanding = state.outstanding;
    bucket.legacyUntil = now + keeper.config.sessionLife + keeper.config.driftMargin;
    bucket.outstanding = 0;
    bucket.version = 0;
    bucket.sent.clear();
    bucket.followers.clear();
    bucket.sessions.clear();
    bucket.waiters.clear();
    bucket.pendingAnswers.clear();
    bucket.promises.clear();
    bucket.isNew = false;
    bucket.role = Bucket::Role::Confirming;
    bucket.resendAfter = keeper.config.resendInterval;
    replicate(keeper, name, bucket, now, effects);
    if (confirmedVersion(bucket).version > 0)
        bucket.role = Bucket::Role::Home;
}

} // namespace

void stepDown(Bucket &bucket, TimePoint now)
{
    if (bucket.role == Bucket::Role::Home) {
        // The home grants nothing after this, so that its state is exact and newer than any
        // replicated one.
        refill(bucket, now);
        bucket.held = {bucket.term, bucket.version + 1, bucket.level,
                       bucket.outstanding + bucket.legacyOutstanding};
        bucket.heldAt = now;
    }
    bucket.role = Bucket::Role::Standby;
    bucket.promises.clear();
    bucket.sessions.clear();
    bucket.waiters.clear();
    bucket.pendingAnswers.clear();
    bucket.sent.clear();
    bucket.followers.clear();
}

void startPreparing(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                    Effects &effects)
{
    const std::uint64_t epoch = keeper.epoch;
    if (bucket.promised.epoch > epoch)
        return;
    const bool again = bucket.promised.epoch == epoch;
    bucket.term = Term{epoch, again ? bucket.promised.round + 1 : 0, bucket.rank};
    bucket.promised = bucket.term;
    bucket.role = Bucket::Role::Preparing;
    bucket.promises.clear();
    Promise own;
    own.incarnation = keeper.incarnation;
    own.promised = bucket.term;
    own.held = bucket.held;
    own.age = now - bucket.heldAt;
    own.epoch = keeper.epoch;
    bucket.promises[keeper.name] = own;
    bucket.fence = std::max(bucket.fence, bucket.term);
    bucket.promisedSpendingEndsAt = now;
    recordPromisedSpending(keeper, bucket, bucket.maySpendUntil - now, now);
    bucket.preparedAt = now;
    bucket.resendAfter = keeper.config.resendInterval;
    keeper.active.insert(name);
    sendPrepare(keeper, name, bucket, now, effects);
    startIfProven(keeper, name, bucket, now, effects);
}

void sendPrepare(const Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                 Effects &effects)
{
    std::set<std::string> targets;
    for (const GroupMember &it : bucket.group.members)
        targets.insert(it.name);
    for (const Group &group : bucket.history) {
        for (const GroupMember &it : group.members)
            targets.insert(it.name);
    }
    const bool asksAllEntries = keeper.othersEnded && now - bucket.preparedAt >= historyTimeout
        && majorityPromised(bucket, bucket.group);
    if (bucket.firstGeneration || asksAllEntries) {
        for (const auto &[member, incarnation] : keeper.incarnations)
            targets.insert(member);
    }
    for (const std::string &target : targets) {
        const auto promise = bucket.promises.find(target);
        const bool answered = promise != bucket.promises.end();
        if (!answered || (asksAllEntries && !hasSeenGroup(bucket, promise->second)))
            effects.messages.push_back({target, Prepare{name, bucket.term}});
    }
    bucket.resendAt = now + bucket.resendAfter;
    bucket.resendAfter = std::min(2 * bucket.resendAfter, maxResendInterval);
}

void adoptHistory(const Keeper &keeper, const Promise &promise, Bucket &bucket, TimePoint now,
                  Effects &effects)
{
    if (!bucket.history.empty() || !hasHistoryToGroup(bucket, promise))
        return;
    bucket.history = promise.history;
    bucket.group = promise.history.front();
    bucket.resendAfter = keeper.config.resendInterval;
    sendPrepare(keeper, promise.bucket, bucket, now, effects);
}

void recordPromisedSpending(const Keeper &keeper, Bucket &bucket, Duration maySpendFor,
                            TimePoint now)
{
    if (maySpendFor <= Duration{})
        return;
    bucket.promisedSpendingEndsAt =
        std::max(bucket.promisedSpendingEndsAt, now + maySpendFor + keeper.config.driftMargin);
}

void startIfProven(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                   Effects &effects)
{
    if (!majorityPromised(bucket, bucket.group))
        return;
    if (isNewestStateKnown(bucket)) {
        const Promise newest = newestPromise(bucket);
        start(keeper, name, bucket, newest.held, newest.age, now, effects);
        return;
    }
    const bool first = bucket.firstGeneration && allEntriesPromised(keeper, bucket);
    if (first && !noMemberHoldsState(bucket)) {
        // Every entry has promised, so the promises contain the newest state.
        const Promise newest = newestPromise(bucket);
        start(keeper, name, bucket, newest.held, newest.age, now, effects);
        return;
    }
    if (first || bucket.isNew) {
        start(keeper, name, bucket, HeldState{{}, 0, bucket.limits.burst, 0}, {}, now, effects);
        return;
    }
    const bool allSpent =
        now >= bucket.promisedSpendingEndsAt && everyProcessPromisedOrEnded(keeper, bucket);
    if (allSpent || now >= earlierHomesEndAt(keeper, bucket))
        start(keeper, name, bucket, HeldState{}, {}, now, effects);
}

Duration timeUntilStart(const Keeper &keeper, const Bucket &bucket, TimePoint now)
{
    const Duration soon = keeper.config.resendInterval / 4;
    if (now - bucket.preparedAt < quickStart || bucket.role == Bucket::Role::Confirming)
        return soon;
    const TimePoint endedAt = earlierHomesEndAt(keeper, bucket);
    const TimePoint startsAt =
        keeper.othersEnded ? std::min(endedAt, bucket.promisedSpendingEndsAt) : endedAt;
    return std::max(soon, std::chrono::duration_cast<Duration>(startsAt - now));
}

} // namespace kumquathaven::limits
