#include "kumquathaven/limits/keeper.h"

#include "bucket.h"

#include <algorithm>

namespace kumquathaven::limits {

namespace {

bool isFresh(const Keeper &keeper, TimePoint now)
{
    return keeper.provenAt != TimePoint{} && now - keeper.provenAt <= keeper.config.freshnessBound;
}

const GroupMember *memberNamed(const std::vector<GroupMember> &members, const std::string &name)
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const GroupMember &member) {
        return member.name == name;
    });
    return it == members.end() ? nullptr : &*it;
}

/// Takes a new group for a bucket and keeps the line of groups before it if it has no gap.
void changeGroup(Keeper &keeper, Bucket &bucket, std::vector<GroupMember> members,
                 std::uint64_t epoch, bool follows, TimePoint now)
{
    stepDown(bucket, now);
    bucket.group = Group{epoch, std::move(members)};
    if (!follows)
        bucket.history.clear();
    else if (bucket.history.size() >= maxHistory)
        bucket.history.pop_back();
    if (follows)
        bucket.history.insert(bucket.history.begin(), bucket.group);
    // Whoever acted for an earlier group finds no majority here any more.
    bucket.promised = std::max(bucket.promised, Term{epoch, 0, 0});
    bucket.groupLearnedAt = now;
    bucket.isNew = false;
    bucket.member = false;
    for (std::uint32_t i = 0; i < bucket.group.members.size(); ++i) {
        const GroupMember &it = bucket.group.members[i];
        if (it.name != keeper.name || it.incarnation != keeper.incarnation)
            continue;
        bucket.member = true;
        bucket.rank = i;
    }
}

} // namespace

namespace {

/// How long the first member waits for another candidate to become the home.
constexpr Duration candidatePatience = std::chrono::milliseconds(300);

/// Returns whether the first member should try again, because no candidate became the home.
bool lacksHome(const Keeper &keeper, const Bucket &bucket, TimePoint now)
{
    return bucket.member && bucket.rank == 0 && bucket.role == Bucket::Role::Standby
        && bucket.held.term < bucket.promised && bucket.promised.epoch <= keeper.epoch
        && now - bucket.lastHomeMessageAt >= candidatePatience;
}

} // namespace

void configureKeeper(Keeper &keeper, const catalogue::Instances &instances,
                     const std::map<std::string, BucketLimits> &limits, TimePoint provenAt,
                     TimePoint now, Effects &effects)
{
    keeper.provenAt = std::max(keeper.provenAt, provenAt);
    if (keeper.provenAt == TimePoint{} || instances.epoch < keeper.epoch)
        return;
    const std::uint64_t before = keeper.epoch;
    const bool epochChanged = before != instances.epoch;
    keeper.epoch = instances.epoch;
    if (epochChanged) {
        keeper.incarnations.clear();
        for (const auto &[name, it] : instances.entries)
            keeper.incarnations[name] = it.incarnation;
    }
    keeper.othersEnded = instances.unprovenDepartures.empty();
    for (auto it = keeper.buckets.begin(); it != keeper.buckets.end();) {
        const bool stays = limits.count(it->first) != 0;
        if (!stays)
            keeper.active.erase(it->first);
        it = stays ? std::next(it) : keeper.buckets.erase(it);
    }
    for (const auto &[name, bucketLimits] : limits) {
        const auto [it, inserted] = keeper.buckets.try_emplace(name);
        Bucket &bucket = it->second;
        bucket.limits = bucketLimits;
        bucket.firstGeneration = instances.departures == 0;
        if (!inserted && !epochChanged) {
            if (lacksHome(keeper, bucket, now))
                startPreparing(keeper, name, bucket, now, effects);
            continue;
        }
        std::vector<GroupMember> members = groupMembers(instances, name);
        // A gap in the epochs hides groups that may have kept the bucket in between.
        const bool follows = !inserted && before + 1 == instances.epoch;
        if (follows && members == bucket.group.members)
            continue;
        if (follows && bucket.history.empty())
            bucket.history.push_back(bucket.group);
        changeGroup(keeper, bucket, std::move(members), instances.epoch, follows, now);
        bucket.isNew = inserted && before != 0 && !epochChanged;
        if (bucket.member && bucket.rank == 0)
            startPreparing(keeper, name, bucket, now, effects);
    }
}

void handleTokenRequest(Keeper &keeper, const std::string &from, const TokenRequest &tokenRequest,
                        TimePoint now, Effects &effects)
{
    const auto spender = keeper.incarnations.find(from);
    const bool known =
        spender != keeper.incarnations.end() && spender->second == tokenRequest.incarnation;
    if (!known || !isFresh(keeper, now))
        return;
    Answer answer;
    answer.bucket = tokenRequest.bucket;
    answer.incarnation = tokenRequest.incarnation;
    answer.session = tokenRequest.session;
    answer.sequence = tokenRequest.sequence;
    answer.kind = AnswerKind::NotHome;
    const auto it = keeper.buckets.find(tokenRequest.bucket);
    if (it == keeper.buckets.end() || !it->second.member) {
        effects.messages.push_back({from, answer});
        return;
    }
    Bucket &bucket = it->second;
    const bool silent = now - bucket.lastHomeMessageAt >= keeper.config.takeoverTimeout;
    if (bucket.role == Bucket::Role::Standby && tokenRequest.homeIsSilent && silent)
        startPreparing(keeper, tokenRequest.bucket, bucket, now, effects);
    switch (bucket.role) {
    case Bucket::Role::Standby:
        answer.term = bucket.promised;
        effects.messages.push_back({from, answer});
        return;
    case Bucket::Role::Preparing:
    case Bucket::Role::Confirming:
        answer.kind = AnswerKind::Starting;
        answer.term = bucket.term;
        answer.retryAfter = startsIn(keeper, bucket, now);
        effects.messages.push_back({from, answer});
        return;
    case Bucket::Role::Home:
        break;
    }
    if (tokenRequest.term == bucket.term && applyReport(keeper, bucket, from, tokenRequest, now)) {
        serveWaiters(keeper, tokenRequest.bucket, bucket, now, effects);
        return;
    }
    const auto session = bucket.sessions.find(from);
    const bool late = tokenRequest.term == bucket.term && session != bucket.sessions.end()
        && isOlder(tokenRequest, session->second);
    if (late)
        return;
    answer.kind = bucket.term < tokenRequest.term ? AnswerKind::NotHome : AnswerKind::Reopen;
    answer.term = bucket.term;
    effects.messages.push_back({from, answer});
}

void handleReplicate(Keeper &keeper, const std::string &from, const Replicate &replicate,
                     TimePoint now, Effects &effects)
{
    const auto it = keeper.buckets.find(replicate.bucket);
    if (it == keeper.buckets.end())
        return;
    Bucket &bucket = it->second;
    const HeldState &state = replicate.state;
    if (!(state.term < bucket.promised)) {
        if (bucket.role != Bucket::Role::Standby && bucket.term != state.term)
            stepDown(bucket, now);
        bucket.promised = state.term;
        bucket.lastHomeMessageAt = now;
        const bool newer = bucket.held.term < state.term
            || (bucket.held.term == state.term && bucket.held.version < state.version);
        if (newer) {
            bucket.held = state;
            bucket.heldAt = now;
        }
    }
    effects.messages.push_back(
        {from, ReplicaAck{replicate.bucket, keeper.incarnation, bucket.promised, state.version}});
}

void handleReplicaAck(Keeper &keeper, const std::string &from, const ReplicaAck &ack, TimePoint now,
                      Effects &effects)
{
    const auto it = keeper.buckets.find(ack.bucket);
    if (it == keeper.buckets.end())
        return;
    Bucket &bucket = it->second;
    if (bucket.role != Bucket::Role::Confirming && bucket.role != Bucket::Role::Home)
        return;
    const GroupMember *member = memberNamed(bucket.group.members, from);
    if (!member || member->incarnation != ack.incarnation || ack.promised < bucket.term)
        return;
    if (ack.promised != bucket.term) {
        stepDown(bucket, now);
        bucket.promised = std::max(bucket.promised, ack.promised);
        return;
    }
    noteAck(bucket, from, ack.version);
    if (bucket.role == Bucket::Role::Confirming && confirmedVersion(bucket).version > 0) {
        bucket.role = Bucket::Role::Home;
        bucket.resendAt = {};
    }
    if (isFresh(keeper, now))
        sendDue(keeper, ack.bucket, bucket, now, effects);
}

bool acceptsGrant(const Keeper &keeper, const std::string &bucket, const Term &term)
{
    const auto it = keeper.buckets.find(bucket);
    return it != keeper.buckets.end() && !(term < it->second.fence);
}

void recordMaySpendUntil(Keeper &keeper, const std::string &bucket, TimePoint until)
{
    const auto it = keeper.buckets.find(bucket);
    if (it != keeper.buckets.end())
        it->second.maySpendUntil = std::max(it->second.maySpendUntil, until);
}

void handlePrepare(Keeper &keeper, const std::string &from, const Prepare &prepare, TimePoint now,
                   Effects &effects)
{
    const auto it = keeper.buckets.find(prepare.bucket);
    if (it == keeper.buckets.end())
        return;
    Bucket &bucket = it->second;
    if (bucket.promised < prepare.term) {
        stepDown(bucket, now);
        bucket.promised = prepare.term;
        bucket.lastHomeMessageAt = now;
    }
    if (bucket.promised == prepare.term)
        bucket.fence = std::max(bucket.fence, prepare.term);
    Promise promise;
    promise.bucket = prepare.bucket;
    promise.incarnation = keeper.incarnation;
    promise.promised = bucket.promised;
    promise.held = bucket.held;
    promise.age = now - bucket.heldAt;
    promise.epoch = keeper.epoch;
    promise.maySpendFor = std::max(Duration{}, bucket.maySpendUntil - now);
    if (isFresh(keeper, now))
        promise.history = bucket.history;
    effects.messages.push_back({from, promise});
}

void handlePromise(Keeper &keeper, const std::string &from, const Promise &promise, TimePoint now,
                   Effects &effects)
{
    const auto it = keeper.buckets.find(promise.bucket);
    if (it == keeper.buckets.end() || it->second.role != Bucket::Role::Preparing)
        return;
    Bucket &bucket = it->second;
    if (bucket.term < promise.promised) {
        bucket.promised = std::max(bucket.promised, promise.promised);
        stepDown(bucket, now);
        bucket.lastHomeMessageAt = now;
        return;
    }
    if (promise.promised != bucket.term)
        return;
    bucket.promises[from] = promise;
    notePromisedSpending(keeper, bucket, promise.maySpendFor, now);
    adoptHistory(keeper, promise, bucket, now, effects);
    tryToStart(keeper, promise.bucket, bucket, now, effects);
}

void tickKeeper(Keeper &keeper, TimePoint now, Effects &effects)
{
    for (auto it = keeper.active.begin(); it != keeper.active.end();) {
        const std::string name = *it;
        ++it;
        Bucket &bucket = keeper.buckets.at(name);
        tickBucket(keeper, name, bucket, now, isFresh(keeper, now), effects);
        if (!needsTicks(bucket))
            keeper.active.erase(name);
    }
}

} // namespace kumquathaven::limits
