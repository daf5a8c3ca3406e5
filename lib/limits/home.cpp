// The home of a bucket. It debits granted slices from the bucket and credits returned tokens. It
// sends a grant only after a majority of the group has acknowledged the debit.

#include "bucket.h"

#include <algorithm>
#include <cmath>

namespace kumquathaven::limits {

namespace {

/// The maximum number of versions whose send time is kept.
constexpr std::size_t maxSentVersions = 64;
/// One spender is granted at most the available tokens divided by this number beyond its need.
constexpr std::uint64_t prefetchDivisor = 4;
/// Spenders must waive refunds when the bucket lacks room for the refill of this time.
constexpr double waiveAheadSeconds = 0.25;
/// The minimum time between two requests to waive refunds.
constexpr Duration waiveInterval = std::chrono::milliseconds(200);
/// The minimum time between two recalls of one spender's tokens.
constexpr Duration recallInterval = std::chrono::milliseconds(50);
/// How often per session life the home replicates a state that has not changed.
constexpr int replicationsPerSessionLife = 2;

std::uint64_t outstandingOf(const SpenderSession &session)
{
    if (!session.open)
        return 0;
    const std::uint64_t used = session.spent + session.returned;
    return session.granted > used ? session.granted - used : 0;
}

std::uint64_t unspentOf(const SpenderSession &session)
{
    const std::uint64_t outstanding = outstandingOf(session);
    return outstanding > session.reserved ? outstanding - session.reserved : 0;
}

/// Closes a session and counts the tokens that it could still spend as spent.
void closeSession(Bucket &bucket, SpenderSession &session)
{
    bucket.outstanding -= static_cast<double>(outstandingOf(session));
    session.open = false;
    session.answerDue = false;
    session.first = 0;
    session.need = 0;
    session.want = 0;
}

void queueAnswer(Bucket &bucket, const std::string &spender, SpenderSession &session)
{
    session.answerDue = true;
    bucket.pendingAnswers.insert(spender);
}

void grant(Bucket &bucket, SpenderSession &session, std::uint64_t tokens)
{
    session.granted += tokens;
    session.answerVersion = bucket.version + 1;
    bucket.level -= static_cast<double>(tokens);
    bucket.outstanding += static_cast<double>(tokens);
}

/// Recalls the unspent tokens of every other spender. Returns how many tokens there may be.
double recall(Bucket &bucket, const std::string &except, TimePoint now)
{
    double recallable = 0;
    for (auto &[name, it] : bucket.sessions) {
        if (name == except || it.first > 0)
            continue;
        const std::uint64_t tokens = unspentOf(it);
        recallable += static_cast<double>(tokens);
        if (tokens == 0 || now - it.recalledAt < recallInterval)
            continue;
        it.recall = true;
        it.recalledAt = now;
        queueAnswer(bucket, name, it);
    }
    return recallable;
}

/// Makes spenders waive refunds. Tokens that may be refunded count against the burst, and can leave
/// no room for the refill.
void requestWaivers(Bucket &bucket, TimePoint now)
{
    const double ahead = std::ceil(bucket.limits.rate * waiveAheadSeconds);
    const double room =
        bucket.limits.burst - bucket.level - bucket.outstanding - bucket.legacyOutstanding;
    if (room >= ahead || now < bucket.nextWaiveAt)
        return;
    double total = 0;
    for (const auto &[name, it] : bucket.sessions)
        total += it.open ? static_cast<double>(it.reserved) : 0;
    if (total <= 0)
        return;
    bucket.nextWaiveAt = now + waiveInterval;
    const double share = std::min(1.0, ahead / total);
    for (auto &[name, it] : bucket.sessions) {
        if (!it.open || it.reserved == 0)
            continue;
        const double part = std::ceil(static_cast<double>(it.reserved) * share);
        it.waiveTarget = it.waived + static_cast<std::uint64_t>(part);
        queueAnswer(bucket, name, it);
    }
}

/// Closes the sessions that have expired, including the margin for clock drift.
void expireSessions(const Keeper &keeper, Bucket &bucket, TimePoint now)
{
    for (auto &[name, it] : bucket.sessions) {
        if (it.open && now >= it.expiresAt + keeper.config.driftMargin)
            closeSession(bucket, it);
    }
}

void openSession(const Keeper &keeper, Bucket &bucket, SpenderSession &session,
                 const TokenRequest &tokenRequest, TimePoint now)
{
    closeSession(bucket, session);
    session = SpenderSession{};
    session.incarnation = tokenRequest.incarnation;
    session.session = tokenRequest.session;
    session.open = true;
    session.expiresAt = now + keeper.config.sessionLife;
    const double carried =
        std::min(static_cast<double>(tokenRequest.carried), std::floor(bucket.legacyOutstanding));
    bucket.legacyOutstanding -= carried;
    bucket.outstanding += carried;
    session.granted = static_cast<std::uint64_t>(carried);
}

} // namespace

void refill(Bucket &bucket, TimePoint now)
{
    const double elapsed = std::max(0.0, toSeconds(now - bucket.refilledAt));
    const double room =
        std::max(0.0, bucket.limits.burst - bucket.outstanding - bucket.legacyOutstanding);
    bucket.level = std::min(room, bucket.level + bucket.limits.rate * elapsed);
    bucket.refilledAt = now;
    if (now >= bucket.legacyUntil)
        bucket.legacyOutstanding = 0;
}

void replicate(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
               Effects &effects)
{
    ++bucket.version;
    bucket.held = {bucket.term, bucket.version, bucket.level,
                   bucket.outstanding + bucket.legacyOutstanding};
    bucket.heldAt = now;
    bucket.sent.push_back({bucket.version, now});
    if (bucket.sent.size() > maxSentVersions)
        bucket.sent.pop_front();
    bucket.followers[keeper.name] = {bucket.version, now};
    for (const GroupMember &it : bucket.group.members) {
        if (it.name != keeper.name)
            effects.messages.push_back({it.name, Replicate{name, bucket.held}});
    }
    bucket.nextReplicationAt = now + keeper.config.sessionLife / replicationsPerSessionLife;
    bucket.resendAt = now + keeper.config.resendInterval;
    keeper.active.insert(name);
}

void recordAck(Bucket &bucket, const std::string &from, std::uint64_t version)
{
    Follower &follower = bucket.followers[from];
    if (version <= follower.version)
        return;
    const auto it =
        std::find_if(bucket.sent.begin(), bucket.sent.end(), [&](const SentVersion &sent) {
            return sent.version == version;
        });
    if (it != bucket.sent.end())
        follower = {version, it->sentAt};
}

Confirmed confirmedVersion(const Bucket &bucket)
{
    std::vector<Follower> followers;
    for (const GroupMember &member : bucket.group.members) {
        const auto it = bucket.followers.find(member.name);
        followers.push_back(it == bucket.followers.end() ? Follower{} : it->second);
    }
    std::sort(followers.begin(), followers.end(), [](const Follower &a, const Follower &b) {
        return a.version > b.version;
    });
    if (followers.empty())
        return {};
    const Follower &last = followers[majorityOf(bucket.group.members) - 1];
    return {last.version, last.sentAt};
}

bool isOlder(const TokenRequest &tokenRequest, const SpenderSession &session)
{
    return std::tie(tokenRequest.incarnation, tokenRequest.session)
        < std::tie(session.incarnation, session.session);
}

bool applyReport(Keeper &keeper, Bucket &bucket, const std::string &from,
                 const TokenRequest &tokenRequest, TimePoint now)
{
    refill(bucket, now);
    SpenderSession &session = bucket.sessions[from];
    if (isOlder(tokenRequest, session))
        return false;
    const bool isNewSession =
        tokenRequest.incarnation != session.incarnation || tokenRequest.session != session.session;
    if (isNewSession)
        openSession(keeper, bucket, session, tokenRequest, now);
    if (!session.open)
        return false;
    const std::uint64_t before = outstandingOf(session);
    const std::uint64_t returned = std::max(session.returned, tokenRequest.returned);
    bucket.level += static_cast<double>(returned - session.returned);
    session.returned = returned;
    session.spent = std::max(session.spent, tokenRequest.spent);
    bucket.outstanding -= static_cast<double>(before - outstandingOf(session));
    session.waived = std::max(session.waived, tokenRequest.waived);
    if (tokenRequest.sequence > session.sequence) {
        session.sequence = tokenRequest.sequence;
        session.reserved = tokenRequest.reserved;
        const bool waits = session.first > 0;
        session.first = tokenRequest.first;
        session.need = tokenRequest.need;
        session.want = tokenRequest.want;
        session.waitsUntil = now + keeper.config.maxWait;
        if (!waits && tokenRequest.first > 0)
            bucket.waiters.push_back(from);
    }
    queueAnswer(bucket, from, session);
    return true;
}

namespace {

/// Grants tokens to the waiting spenders in order, up to the first that must wait. Returns whether
/// any were granted.
bool grantInOrder(Bucket &bucket, TimePoint now)
{
    bool granted = false;
    double ahead = 0;
    double recallable = -1;
    std::deque<std::string> stillWaiting;
    for (const std::string &name : bucket.waiters) {
        SpenderSession &it = bucket.sessions[name];
        if (it.first == 0 || now >= it.waitsUntil) {
            it.first = 0;
            continue;
        }
        const auto available = static_cast<std::uint64_t>(std::max(0.0, bucket.level));
        if (stillWaiting.empty() && available >= it.first) {
            const std::uint64_t tokens = std::min(available, it.need);
            const std::uint64_t extra =
                std::min(it.want - it.need, (available - tokens) / prefetchDivisor);
            grant(bucket, it, tokens + extra);
            it.first = 0;
            it.retryAfter = {};
            queueAnswer(bucket, name, it);
            granted = true;
            continue;
        }
        if (recallable < 0)
            recallable = recall(bucket, name, now);
        const double missing = ahead + static_cast<double>(it.first) - bucket.level - recallable;
        it.retryAfter = fromSeconds(std::max(0.0, missing / bucket.limits.rate));
        ahead += static_cast<double>(it.first);
        stillWaiting.push_back(name);
    }
    bucket.waiters = std::move(stillWaiting);
    return granted;
}

/// Grants tokens ahead of need to the spenders that await an answer, unless a spender waits for
/// tokens. Returns whether any were granted.
bool grantAhead(Bucket &bucket)
{
    if (!bucket.waiters.empty())
        return false;
    bool granted = false;
    for (const std::string &name : bucket.pendingAnswers) {
        SpenderSession &it = bucket.sessions[name];
        if (!it.open || it.want == 0)
            continue;
        const auto available = static_cast<std::uint64_t>(std::max(0.0, bucket.level));
        const std::uint64_t tokens = std::min(it.want, available / prefetchDivisor);
        it.want = 0;
        if (tokens == 0)
            continue;
        grant(bucket, it, tokens);
        granted = true;
    }
    return granted;
}

} // namespace

void serveWaiters(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                  Effects &effects)
{
    const bool inOrder = grantInOrder(bucket, now);
    for (const std::string &it : bucket.pendingAnswers) {
        SpenderSession &session = bucket.sessions[it];
        if (session.first == 0 && session.need > 0) {
            session.need = 0;
            session.want = 0;
        }
    }
    const bool ahead = grantAhead(bucket);
    requestWaivers(bucket, now);
    keeper.active.insert(name);
    const Duration leaseAge = now - confirmedVersion(bucket).sentAt;
    const bool leaseEnds = !bucket.pendingAnswers.empty()
        && 2 * leaseAge > keeper.config.sessionLife && now >= bucket.resendAt;
    if (inOrder || ahead || leaseEnds)
        replicate(keeper, name, bucket, now, effects);
    sendConfirmedAnswers(keeper, name, bucket, now, effects);
}

void sendConfirmedAnswers(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now,
                          Effects &effects)
{
    if (bucket.role != Bucket::Role::Home)
        return;
    Confirmed confirmed = confirmedVersion(bucket);
    if (majorityOf(bucket.group.members) == 1)
        confirmed.sentAt = now;
    const TimePoint leaseUntil = confirmed.sentAt + keeper.config.sessionLife;
    if (leaseUntil <= now)
        return;
    for (auto it = bucket.pendingAnswers.begin(); it != bucket.pendingAnswers.end();) {
        SpenderSession &session = bucket.sessions[*it];
        if (session.answerDue && session.answerVersion > confirmed.version) {
            ++it;
            continue;
        }
        if (session.answerDue && session.open) {
            Answer answer;
            answer.bucket = name;
            answer.term = bucket.term;
            answer.incarnation = session.incarnation;
            answer.session = session.session;
            answer.sequence = session.sequence;
            answer.granted = session.granted;
            answer.validFor = leaseUntil - now;
            answer.waiveTarget = session.waiveTarget;
            answer.recall = session.recall;
            answer.retryAfter = session.first > 0 ? session.retryAfter : Duration{};
            session.recall = false;
            session.answerDue = false;
            session.expiresAt = now + keeper.config.sessionLife;
            effects.messages.push_back({*it, answer});
        }
        it = bucket.pendingAnswers.erase(it);
    }
}

void tickBucket(Keeper &keeper, const std::string &name, Bucket &bucket, TimePoint now, bool fresh,
                Effects &effects)
{
    switch (bucket.role) {
    case Bucket::Role::Standby:
        return;
    case Bucket::Role::Preparing:
        if (now >= bucket.resendAt)
            sendPrepare(keeper, name, bucket, now, effects);
        if (fresh)
            startIfProven(keeper, name, bucket, now, effects);
        return;
    case Bucket::Role::Confirming:
        if (now >= bucket.resendAt)
            replicate(keeper, name, bucket, now, effects);
        return;
    case Bucket::Role::Home:
        break;
    }
    if (!fresh)
        return;
    refill(bucket, now);
    expireSessions(keeper, bucket, now);
    const bool isUnconfirmed = !bucket.pendingAnswers.empty() && now >= bucket.resendAt;
    if (isUnconfirmed || now >= bucket.nextReplicationAt)
        replicate(keeper, name, bucket, now, effects);
    serveWaiters(keeper, name, bucket, now, effects);
}

bool needsTicks(const Bucket &bucket)
{
    if (bucket.role == Bucket::Role::Standby)
        return false;
    if (bucket.role != Bucket::Role::Home)
        return true;
    return bucket.outstanding > 0 || bucket.legacyOutstanding > 0 || !bucket.waiters.empty()
        || !bucket.pendingAnswers.empty();
}

} // namespace kumquathaven::limits
