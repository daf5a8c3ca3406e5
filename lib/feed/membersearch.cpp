#include "kumquathaven/feed/membersearch.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace kumquathaven::feed {

namespace {

/// Numbers of members that are added in the first rounds. The next round adds all others, so that
/// every member is tried within two delays, however many there are.
constexpr std::size_t firstRounds[] = {1, 2};

/// Minimum gain in time for a proof to count as newer, since the computed time of an unchanged
/// proof varies with the delay of the probe.
constexpr Duration minProofGain = std::chrono::milliseconds(100);

/// Number of unanswered probes to one member that are remembered.
constexpr std::size_t maxProbes = 16;

/// Returns the members that take no part in the search yet, the most promising first. The order
/// differs between instances, so that they do not all turn to the same member.
std::vector<std::string> untried(const MemberSearch &search, TimePoint now)
{
    std::vector<std::tuple<bool, bool, std::uint64_t, std::string>> ranked;
    for (const auto &[member, isListed] : search.members) {
        if (search.attempts.count(member) > 0)
            continue;
        const auto failed = search.failedAt.find(member);
        const bool hasFailed =
            failed != search.failedAt.end() && now - failed->second < search.times.failureMemory;
        const std::uint64_t rank =
            std::numeric_limits<std::uint64_t>::max() - rendezvousRank(search.instance, member);
        ranked.emplace_back(hasFailed, !isListed, rank, member);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (const auto &it : ranked)
        order.push_back(std::get<3>(it));
    return order;
}

/// Returns whether further members are to be added: those of the next round, or those that have
/// become known since the last one.
bool isRoundDue(const MemberSearch &search, TimePoint now)
{
    if (search.rounds > std::size(firstRounds))
        return !untried(search, now).empty();
    return now - search.beganAt >= search.times.attemptDelay * search.rounds;
}

void addMembers(MemberSearch &search, SearchStep &step, TimePoint now)
{
    const std::size_t most = search.rounds < std::size(firstRounds)
        ? firstRounds[search.rounds]
        : std::numeric_limits<std::size_t>::max();
    std::vector<std::string> order = untried(search, now);
    order.resize(std::min(order.size(), most));
    for (const std::string &it : order) {
        search.attempts[it].startedAt = now;
        step.connect.push_back(it);
    }
    ++search.rounds;
}

void probe(MemberSearch &search, const std::string &member, SearchStep &step, TimePoint now)
{
    SearchAttempt &attempt = search.attempts[member];
    attempt.probedAt = now;
    attempt.probes[++search.lastProbe] = now;
    if (attempt.probes.size() > maxProbes)
        attempt.probes.erase(attempt.probes.begin());
    step.probes.push_back({member, search.lastProbe});
}

/// Ends the search and closes all links but that to the followed member.
void endSearch(MemberSearch &search, SearchStep &step, TimePoint now)
{
    for (const auto &[member, attempt] : search.attempts) {
        if (member == search.followed)
            continue;
        step.disconnect.push_back(member);
        // A link that was given no time to open shows nothing about its member.
        if (!attempt.isSound && now - attempt.startedAt >= search.times.attemptDelay)
            search.failedAt[member] = now;
    }
    search.attempts.clear();
    search.isActive = false;
}

void follow(MemberSearch &search, const std::string &member, SearchStep &step, TimePoint now)
{
    if (!search.followed.empty())
        search.failedAt[search.followed] = now;
    search.followed = member;
    step.follow = member;
}

/// Returns the sound member that comes first in the order of this instance, so that instances which
/// find several sound members spread over them; empty if there is none.
std::string preferredSound(const MemberSearch &search)
{
    std::string best;
    std::uint64_t bestRank = 0;
    for (const auto &[member, attempt] : search.attempts) {
        const std::uint64_t rank = rendezvousRank(search.instance, member);
        if (!attempt.isSound || (!best.empty() && rank <= bestRank))
            continue;
        best = member;
        bestRank = rank;
    }
    return best;
}

/// Returns the open member with the newest proof; empty if no link is open.
std::string newestOpen(const MemberSearch &search)
{
    std::string best;
    TimePoint provenAt;
    for (const auto &[member, attempt] : search.attempts) {
        if (!attempt.isOpen || (!best.empty() && attempt.provenAt <= provenAt))
            continue;
        best = member;
        provenAt = attempt.provenAt;
    }
    return best;
}

/// Decides whether the search has found what it looks for.
void decide(MemberSearch &search, SearchStep &step, TimePoint now)
{
    const auto followed = search.attempts.find(search.followed);
    const bool isFollowed = followed != search.attempts.end();
    if (isFollowed && followed->second.isSound) {
        endSearch(search, step, now);
        return;
    }
    const std::string sound = preferredSound(search);
    if (!sound.empty()) {
        if (search.foundAt == TimePoint{})
            search.foundAt = now;
        const bool mayRecover = isFollowed && followed->second.provenAt != TimePoint{};
        if (mayRecover && now - search.foundAt < search.times.followedGrace)
            return;
        follow(search, sound, step, now);
        endSearch(search, step, now);
    } else if (!isFollowed && now - search.beganAt >= search.times.settleTime) {
        const std::string open = newestOpen(search);
        if (!open.empty())
            follow(search, open, step, now);
    }
}

} // namespace

void setMembers(MemberSearch &search, const std::vector<std::string> &listed,
                const std::vector<std::string> &configured)
{
    search.members.clear();
    for (const std::string &it : configured)
        search.members[it] = false;
    for (const std::string &it : listed)
        search.members[it] = true;
    for (auto it = search.failedAt.begin(); it != search.failedAt.end();)
        it = search.members.count(it->first) > 0 ? std::next(it) : search.failedAt.erase(it);
}

SearchStep beginSearch(MemberSearch &search, TimePoint now)
{
    SearchStep step;
    if (search.isActive)
        return step;
    search.isActive = true;
    search.beganAt = now;
    search.foundAt = {};
    search.rounds = 0;
    if (!search.followed.empty()) {
        SearchAttempt &attempt = search.attempts[search.followed];
        attempt.startedAt = now;
        attempt.isOpen = true;
        probe(search, search.followed, step, now);
    }
    addMembers(search, step, now);
    return step;
}

SearchStep recordOpened(MemberSearch &search, const std::string &member, TimePoint now)
{
    SearchStep step;
    const auto it = search.attempts.find(member);
    if (it == search.attempts.end())
        return step;
    it->second.isOpen = true;
    probe(search, member, step, now);
    return step;
}

SearchStep recordClosed(MemberSearch &search, const std::string &member, TimePoint now)
{
    const bool wasFollowed = member == search.followed;
    if (wasFollowed) {
        search.followed.clear();
        search.failedAt[member] = now;
    }
    const auto it = search.attempts.find(member);
    if (it != search.attempts.end()) {
        it->second = {};
        it->second.startedAt = now;
        return {};
    }
    if (!wasFollowed)
        return {};
    SearchStep step = beginSearch(search, now);
    // Each link of a search is requested by it.
    step.disconnect.push_back(member);
    return step;
}

SearchStep recordProof(MemberSearch &search, const std::string &member, std::uint64_t number,
                       Duration age, TimePoint now)
{
    SearchStep step;
    const auto it = search.attempts.find(member);
    if (it == search.attempts.end() || it->second.probes.count(number) == 0)
        return step;
    SearchAttempt &attempt = it->second;
    const auto sent = attempt.probes.find(number);
    const TimePoint provenAt = sent->second - age;
    attempt.probes.erase(attempt.probes.begin(), std::next(sent));
    const bool isNewer =
        attempt.provenAt != TimePoint{} && provenAt > attempt.provenAt + minProofGain;
    attempt.isSound = isNewer || now - provenAt <= search.times.maxProofAge;
    attempt.provenAt = std::max(attempt.provenAt, provenAt);
    decide(search, step, now);
    return step;
}

SearchStep reviewSearch(MemberSearch &search, TimePoint now)
{
    SearchStep step;
    if (!search.isActive)
        return step;
    decide(search, step, now);
    if (!search.isActive)
        return step;
    while (isRoundDue(search, now))
        addMembers(search, step, now);
    for (auto &[member, attempt] : search.attempts) {
        if (attempt.isOpen) {
            if (now - attempt.probedAt >= search.times.probeInterval)
                probe(search, member, step, now);
        } else if (now - attempt.startedAt >= search.times.connectTimeout) {
            attempt.startedAt = now;
            step.disconnect.push_back(member);
            step.connect.push_back(member);
        }
    }
    return step;
}

} // namespace kumquathaven::feed
