#include "kumquathaven/limits/spender.h"

#include "account.h"

#include <algorithm>

namespace kumquathaven::limits {

namespace {

/// The minimum time between requests to the home that only fetch tokens ahead of need.
constexpr Duration prefetchInterval = std::chrono::milliseconds(20);
/// The minimum time after which a refused caller may retry.
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);

void admit(Spender &spender, std::uint64_t id, Reservation &reservation, TimePoint now,
           Effects &effects)
{
    reservation.admitted = true;
    for (const std::string &bucket : reservation.buckets) {
        Account &account = spender.accounts.at(bucket);
        if (reservation.cost.total() > 0)
            account.possibleRefunds[id] = reservation.cost.total();
        account.reserved += reservation.cost.total();
        account.dirty = true;
        addUsage(account, reservation.cost.total(), now);
        const bool low = spendable(account, now) < sliceSize(spender, account) / 2;
        if (low && now - account.lastSentAt >= prefetchInterval)
            sendTokenRequest(spender, bucket, account, now, effects);
    }
}

bool canAdmit(const Spender &spender, std::uint64_t id, const Reservation &reservation,
              TimePoint now)
{
    return std::all_of(
        reservation.buckets.begin(), reservation.buckets.end(), [&](const std::string &bucket) {
            const Account &account = spender.accounts.at(bucket);
            const bool first = account.waiting.empty() || account.waiting.front() == id;
            return first && spendable(account, now) >= reservation.cost.total();
        });
}

void stopWaiting(Spender &spender, std::uint64_t id, const Reservation &reservation)
{
    for (const std::string &bucket : reservation.buckets) {
        auto &waiting = spender.accounts.at(bucket).waiting;
        waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
    }
    --spender.waitingCount;
}

Error refusalOf(ErrorCode code, std::string message, std::optional<Duration> retryAfter)
{
    return Error{code, "limits.reserve", {}, std::move(message), Outcome::NotRun, retryAfter};
}

void refuse(Spender &spender, std::uint64_t id, Duration wait, Effects &effects)
{
    const auto it = spender.reservations.find(id);
    stopWaiting(spender, id, it->second);
    Duration retryAfter = std::max(wait, minRetryAfter);
    for (const std::string &bucket : it->second.buckets) {
        const Account &account = spender.accounts.at(bucket);
        if (wait == Duration{} && account.rate > 0)
            retryAfter =
                std::max(retryAfter,
                         fromSeconds(static_cast<double>(it->second.cost.total()) / account.rate));
    }
    spender.reservations.erase(it);
    effects.resolutions.push_back(
        {id, refusalOf(ErrorCode::RateLimited, "the customer's rate is used up", retryAfter)});
}

/// Admits the waiting requests of an account in order while there are enough tokens.
void admitWaiting(Spender &spender, const std::string &bucket, TimePoint now, Effects &effects)
{
    Account &account = spender.accounts.at(bucket);
    while (!account.waiting.empty()) {
        const std::uint64_t id = account.waiting.front();
        Reservation &reservation = spender.reservations.at(id);
        if (!canAdmit(spender, id, reservation, now))
            return;
        stopWaiting(spender, id, reservation);
        admit(spender, id, reservation, now, effects);
        effects.resolutions.push_back({id, std::nullopt});
    }
}

void requestShortage(Spender &spender, const std::string &bucket, Account &account, TimePoint now,
                     Effects &effects)
{
    const Shortage shortage = shortageOf(spender, account, now);
    if (shortage.all > 0 && account.granted + shortage.all > account.requestedTotal)
        sendTokenRequest(spender, bucket, account, now, effects);
}

void applyGrant(Spender &spender, const Answer &answer, Account &account, TimePoint now)
{
    if (account.confirmed) {
        if (answer.granted > account.granted)
            account.grantedAt = now;
        account.granted = std::max(account.granted, answer.granted);
    } else {
        account.granted = answer.granted;
        account.grantedAt = now;
    }
    account.confirmed = true;
    const std::uint64_t used = account.spent + account.returned + account.reserved;
    if (used > account.granted)
        waiveRefunds(account, used - account.granted);
    const std::uint64_t age = account.sequence - std::min(account.sequence, answer.sequence);
    if (age < account.sentAt.size()) {
        const TimePoint sentAt = account.sentAt[answer.sequence % account.sentAt.size()];
        account.validUntil = std::max(
            account.validUntil, sentAt + std::min(answer.validFor, spender.config.sessionLife));
    }
    if (answer.waiveTarget > account.waived) {
        const std::uint64_t dropped = waiveRefunds(account, answer.waiveTarget - account.waived);
        account.spent += dropped;
        account.waived += dropped;
        account.dirty = account.dirty || dropped > 0;
        account.refillBlocked = dropped > 0;
    }
}

/// Refuses the oldest waiting request if it cannot get its tokens before its deadline. Returns
/// whether it was refused.
bool refuseIfTooLate(Spender &spender, Account &account, Duration wait, TimePoint now,
                     Effects &effects)
{
    if (wait <= Duration{} || account.waiting.empty())
        return false;
    const std::uint64_t id = account.waiting.front();
    if (spender.reservations.at(id).deadline >= now + wait)
        return false;
    refuse(spender, id, wait, effects);
    account.dirty = true;
    return true;
}

void handleGrant(Spender &spender, const Answer &answer, Account &account, TimePoint now,
                 Effects &effects)
{
    if (answer.session != account.session || answer.incarnation != spender.incarnation)
        return;
    account.lastAnswered = std::max(account.lastAnswered, answer.sequence);
    account.unanswered = 0;
    applyGrant(spender, answer, account, now);
    admitWaiting(spender, answer.bucket, now, effects);
    const bool refused = refuseIfTooLate(spender, account, answer.retryAfter, now, effects);
    admitWaiting(spender, answer.bucket, now, effects);
    if (refused && !account.waiting.empty()) {
        // The home still has the refused request at the head of this account's waiting requests.
        sendTokenRequest(spender, answer.bucket, account, now, effects);
        return;
    }
    if (answer.recall && account.waiting.empty()) {
        returnUnspent(account, 0);
        sendTokenRequest(spender, answer.bucket, account, now, effects);
        return;
    }
    requestShortage(spender, answer.bucket, account, now, effects);
}

} // namespace

Decision reserve(Spender &spender, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects)
{
    Reservation reservation;
    reservation.cost = cost;
    reservation.deadline = now + spender.config.maxWait;
    for (const Draw &it : draws) {
        if (it.limits.rate <= 0)
            continue;
        if (static_cast<double>(cost.total()) > it.limits.burst)
            return {Decision::Kind::Refused, 0,
                    refusalOf(ErrorCode::TooLarge,
                              "the request needs more tokens than the bucket's burst",
                              std::nullopt)};
        Account &account = accountOf(spender, it.bucket, now);
        account.rate = it.limits.rate;
        reservation.buckets.push_back(it.bucket);
        if (account.group.empty())
            return {Decision::Kind::Refused, 0,
                    refusalOf(ErrorCode::Unavailable, "no instance keeps the bucket",
                              spender.config.maxWait)};
    }
    const std::uint64_t id = ++spender.lastReservation;
    Reservation &stored = spender.reservations.emplace(id, std::move(reservation)).first->second;
    if (canAdmit(spender, id, stored, now)) {
        admit(spender, id, stored, now, effects);
        return {Decision::Kind::Admitted, id, std::nullopt};
    }
    if (spender.waitingCount >= spender.config.maxWaiting) {
        spender.reservations.erase(id);
        return {Decision::Kind::Refused, 0,
                refusalOf(ErrorCode::RateLimited, "too many requests wait for tokens",
                          spender.config.maxWait)};
    }
    ++spender.waitingCount;
    for (const std::string &bucket : stored.buckets) {
        Account &account = spender.accounts.at(bucket);
        account.waiting.push_back(id);
        if (!isAwaitingAnswer(account))
            requestShortage(spender, bucket, account, now, effects);
    }
    return {Decision::Kind::Waiting, id, std::nullopt};
}

void startRun(Spender &spender, std::uint64_t reservation)
{
    const auto it = spender.reservations.find(reservation);
    if (it == spender.reservations.end() || !it->second.admitted || it->second.started)
        return;
    it->second.started = true;
    for (const std::string &bucket : it->second.buckets) {
        const auto account = spender.accounts.find(bucket);
        if (account == spender.accounts.end())
            continue;
        const auto claim = account->second.possibleRefunds.find(reservation);
        if (claim == account->second.possibleRefunds.end())
            continue;
        // Refunds that were already waived are charged to the prompt first.
        const std::uint64_t left = std::min(claim->second, it->second.cost.maxOutput);
        account->second.spent += claim->second - left;
        account->second.reserved -= claim->second - left;
        claim->second = left;
        account->second.dirty = true;
    }
}

void settle(Spender &spender, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects)
{
    const auto it = spender.reservations.find(reservation);
    if (it == spender.reservations.end())
        return;
    if (!it->second.admitted) {
        stopWaiting(spender, reservation, it->second);
        spender.reservations.erase(it);
        return;
    }
    const std::uint64_t total = it->second.cost.total();
    const std::uint64_t unused = total - std::min(used, total);
    const std::uint64_t excess = used - std::min(used, total);
    const std::vector<std::string> buckets = std::move(it->second.buckets);
    spender.reservations.erase(it);
    for (const std::string &bucket : buckets) {
        const auto account = spender.accounts.find(bucket);
        if (account == spender.accounts.end())
            continue;
        account->second.spent += std::min(excess, spendable(account->second, now));
        const auto claim = account->second.possibleRefunds.find(reservation);
        if (claim == account->second.possibleRefunds.end())
            continue;
        const std::uint64_t refund = std::min(unused, claim->second);
        account->second.spent += claim->second - refund;
        account->second.reserved -= claim->second;
        account->second.dirty = true;
        account->second.possibleRefunds.erase(claim);
        admitWaiting(spender, bucket, now, effects);
    }
}

void handleAnswer(Spender &spender, const std::string &from, const Answer &answer, TimePoint now,
                  Effects &effects)
{
    const auto it = spender.accounts.find(answer.bucket);
    if (it == spender.accounts.end())
        return;
    Account &account = it->second;
    const auto member =
        std::find_if(account.group.begin(), account.group.end(), [&](const GroupMember &candidate) {
            return candidate.name == from;
        });
    if (answer.kind == AnswerKind::Granted) {
        handleGrant(spender, answer, account, now, effects);
        return;
    }
    // Answers of other kinds count only for the newest request, so that a late one does not replace
    // the session.
    if (member == account.group.end() || answer.session != account.session
        || answer.sequence != account.sequence || answer.incarnation != spender.incarnation)
        return;
    account.lastAnswered = answer.sequence;
    switch (answer.kind) {
    case AnswerKind::Reopen:
        if (answer.term < account.term) {
            switchToNextMember(account);
            return;
        }
        account.unanswered = 0;
        account.target = static_cast<std::uint32_t>(member - account.group.begin());
        openSession(spender, account, answer.term, answer.term != account.term, now);
        sendTokenRequest(spender, answer.bucket, account, now, effects);
        return;
    case AnswerKind::Starting:
        account.retryAt = now + std::min(answer.retryAfter, spender.config.answerTimeout / 2);
        while (refuseIfTooLate(spender, account, answer.retryAfter, now, effects)) { }
        return;
    case AnswerKind::NotHome: {
        const bool known = account.term < answer.term && answer.term.rank < account.group.size();
        if (known && answer.term.rank != account.target)
            account.target = answer.term.rank;
        else
            switchToNextMember(account);
        account.retryAt = now + spender.config.resendInterval / 4;
        return;
    }
    case AnswerKind::Granted:
        break;
    }
}

namespace {

void expireWaiting(Spender &spender, Account &account, TimePoint now, Effects &effects)
{
    while (!account.waiting.empty()
           && spender.reservations.at(account.waiting.front()).deadline <= now) {
        refuse(spender, account.waiting.front(), {}, effects);
        account.dirty = true;
    }
}

void tickAccount(Spender &spender, const std::string &bucket, Account &account, TimePoint now,
                 Effects &effects)
{
    const Config &config = spender.config;
    expireWaiting(spender, account, now, effects);
    admitWaiting(spender, bucket, now, effects);
    if (account.granted > 0 && now >= account.validUntil)
        openSession(spender, account, account.term, false, now);
    decayUsage(account, now);
    const std::uint64_t slice = sliceSize(spender, account);
    const bool minTimePassed = now - account.grantedAt >= config.minSliceTime;
    if (account.waiting.empty() && (minTimePassed || slice == 0))
        returnUnspent(account, 2 * slice);
    const bool holds = unspent(account) + account.reserved > 0;
    const bool mustReport = holds || account.dirty || !account.waiting.empty();
    const Duration silence = now - account.lastSentAt;
    if (account.retryAt != TimePoint{}) {
        if (now >= account.retryAt && mustReport)
            sendTokenRequest(spender, bucket, account, now, effects);
        return;
    }
    if (isAwaitingAnswer(account)) {
        if (silence < config.answerTimeout || !mustReport)
            return;
        switchToNextMember(account);
        sendTokenRequest(spender, bucket, account, now, effects);
        return;
    }
    const bool lacks = !account.waiting.empty() && silence >= config.answerTimeout;
    const bool expectsNoSpending = slice == 0 && account.possibleRefunds.empty();
    const Duration interval = expectsNoSpending || account.refillBlocked
        ? config.promptReportInterval
        : config.reportInterval;
    const bool reports = account.dirty && silence >= interval;
    const bool renews = holds && silence >= config.sessionLife / 4;
    if (lacks || reports || renews)
        sendTokenRequest(spender, bucket, account, now, effects);
}

} // namespace

void tickSpender(Spender &spender, TimePoint now, Effects &effects)
{
    for (auto it = spender.accounts.begin(); it != spender.accounts.end();) {
        accountOf(spender, it->first, now);
        tickAccount(spender, it->first, it->second, now, effects);
        it = isIdle(it->second, now) ? spender.accounts.erase(it) : std::next(it);
    }
}

} // namespace kumquathaven::limits
