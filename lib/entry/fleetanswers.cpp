#include "fleetanswers.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

using answers::PartKind;

constexpr const char *frameKind = "answers";
constexpr std::size_t maxWaitingFrames = 8192;
constexpr std::size_t maxWaitingBytes = std::size_t{8} * 1024 * 1024;
// How often answers that others read are looked at, and how long the duty sleeps without any.
constexpr Duration pumpInterval = std::chrono::milliseconds(5);
constexpr Duration idleInterval = std::chrono::milliseconds(100);
constexpr Duration expiryInterval = std::chrono::seconds(1);
// A request waits this long for one answer of another instance, and for all of them together.
constexpr Duration answerLimit = std::chrono::milliseconds(40);
constexpr Duration searchLimit = std::chrono::milliseconds(80);
// A holder whose own search is not over is asked again after this time.
constexpr Duration undecidedInterval = std::chrono::milliseconds(5);
// An instance that did not answer is not asked again for this long.
constexpr Duration silenceTime = std::chrono::seconds(1);
constexpr std::size_t maxHomesTried = 3;

/// Returns the names of the entries that callers are sent to. All that have the same epoch agree.
std::vector<std::string> servingEntries(const catalogue::View &view)
{
    std::vector<std::string> names;
    const catalogue::Snapshot snapshot = view.current();
    for (const auto &[name, it] : snapshot.instances->entries) {
        if (it.state == catalogue::InstanceState::Serving)
            names.push_back(name);
    }
    return names;
}

Duration waitUntil(TimePoint deadline)
{
    return std::min(answerLimit, std::chrono::duration_cast<Duration>(deadline - monotonicNow()));
}

} // namespace

FleetAnswers::FleetAnswers(std::string ownName, std::uint64_t incarnation, wire::Hub &hub,
                           feed::PeerLinks &peerLinks, const catalogue::View &view,
                           JoinTable &joins, telemetry::Metrics &metrics)
    : m_name(std::move(ownName))
    , m_peerLinks(peerLinks)
    , m_view(view)
    , m_claims(metrics.counter("kumquathaven_answers_claims_total",
                               "requests whose work's home, another entry, was asked"))
    , m_sent(metrics.counter("kumquathaven_answers_frames_total",
                             "frames about answers sent to other entries"))
    , m_unanswered(metrics.counter("kumquathaven_answers_unanswered_total",
                                   "questions to other entries without an answer in time"))
    , m_lostFrames(metrics.counter("kumquathaven_answers_lost_frames_total",
                                   "frames of other entries that found no room"))
    , m_malformedFrames(metrics.counter("kumquathaven_entry_frames_malformed_total",
                                        "frames of other entries that were not understood",
                                        {{"channel", "answers"}}))
    , m_searches(metrics.histogram("kumquathaven_answers_search_seconds",
                                   "time to find out whether another entry holds an answer"))
    , m_ring(maxWaitingFrames, maxWaitingBytes,
             [](const Received &it) {
                 return it.body.size();
             })
    , m_offered(joins,
                [this](const std::string &to, const answers::FleetMessage &message) {
                    return send(to, message);
                })
    , m_lastNumber(incarnation)
{
    wire::ChannelHandlers handlers;
    handlers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        if (!m_ring.tryPush({peer.name, frame.body}))
            m_lostFrames.add();
    };
    hub.handle(wire::Channel::Answers, std::move(handlers));
}

FoundWork FleetAnswers::find(const answers::WorkKey &key, const std::string &bodyFingerprint)
{
    const TimePoint begin = monotonicNow();
    const TimePoint deadline = begin + searchLimit;
    FoundWork found;
    std::string staleHolder;
    bool mayGoOn = true;
    while (mayGoOn && monotonicNow() < deadline) {
        const auto holder = claim(key, staleHolder, waitUntil(deadline));
        if (!holder || holder->empty())
            break;
        found.wasHeld = true;
        found.holder = *holder;
        const auto kind = fetch(found, key, bodyFingerprint, waitUntil(deadline));
        if (kind == PartKind::Undecided) {
            std::this_thread::sleep_for(undecidedInterval);
            continue;
        }
        const bool isOtherBody = kind == PartKind::OtherBody;
        const bool isAnswer = kind == PartKind::Running || kind == PartKind::Complete;
        if (isOtherBody || isAnswer)
            found.kind = isAnswer ? FoundWork::Kind::Answer : FoundWork::Kind::OtherBody;
        mayGoOn = !isOtherBody && !isAnswer;
        staleHolder = *holder;
    }
    m_searches.observe(toSeconds(monotonicNow() - begin));
    return found;
}

answers::ReadResult FleetAnswers::read(std::uint64_t fetch, Duration timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    answers::FetchedAnswer &answer = m_fetches.at(fetch);
    answers::ReadResult result = answers::readFetched(answer, monotonicNow());
    if (!result.chunks.empty() || result.state != answers::AnswerState::Running)
        return result;
    const std::uint64_t before = answer.nextSequence;
    m_news.wait_for(lock, timeout, [&] {
        return answer.nextSequence != before || answer.kind != PartKind::Running;
    });
    return answers::readFetched(answer, monotonicNow());
}

void FleetAnswers::end(const FoundWork &found)
{
    bool isWhole = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_fetches.find(found.fetch);
        isWhole = it != m_fetches.end() && it->second.kind == PartKind::Complete;
        if (it != m_fetches.end())
            m_fetches.erase(it);
    }
    if (!isWhole)
        send(found.holder, answers::FetchEnd{found.fetch});
}

void FleetAnswers::runInsteadOf(const answers::WorkKey &key, const std::string &holder)
{
    claim(key, holder, Duration{});
}

void FleetAnswers::run(const runtime::StopSignal &stop)
{
    TimePoint nextPump = monotonicNow();
    TimePoint nextExpiry = monotonicNow();
    while (!stop.requested()) {
        if (const auto received = m_ring.pop(m_offered.isIdle() ? idleInterval : pumpInterval))
            take(*received);
        const TimePoint now = monotonicNow();
        if (now >= nextPump) {
            nextPump = now + pumpInterval;
            m_offered.pump(now);
        }
        if (now >= nextExpiry) {
            nextExpiry = now + expiryInterval;
            const std::lock_guard<std::mutex> lock(m_mutex);
            answers::expire(m_directory, now);
        }
    }
}

void FleetAnswers::take(const Received &received)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, answers::decodeMessage(received.body, received.peer));
            takeMessage(received.peer, message);
            return {};
        },
        [this](const Error &) {
            m_malformedFrames.add();
        });
}

void FleetAnswers::takeMessage(const std::string &peer, const answers::FleetMessage &message)
{
    const TimePoint now = monotonicNow();
    if (const auto *fetch = std::get_if<answers::Fetch>(&message))
        return m_offered.fetch(peer, *fetch, now);
    if (const auto *end = std::get_if<answers::FetchEnd>(&message))
        return m_offered.end(peer, *end);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_silent.erase(peer);
    if (const auto *it = std::get_if<answers::Claim>(&message)) {
        send(peer,
             answers::ClaimAnswer{
                 it->number, answers::claim(m_directory, it->key, peer, it->staleHolder, now)});
    } else if (const auto *answer = std::get_if<answers::ClaimAnswer>(&message)) {
        const auto pending = m_pendingClaims.find(answer->number);
        if (pending != m_pendingClaims.end() && pending->second.home == peer)
            pending->second.holder = answer->holder;
    } else if (const auto *part = std::get_if<answers::AnswerPart>(&message)) {
        const auto fetched = m_fetches.find(part->number);
        if (fetched != m_fetches.end())
            answers::handlePart(fetched->second, peer, *part, now);
    }
    m_news.notify_all();
}

bool FleetAnswers::send(const std::string &to, const answers::FleetMessage &message)
{
    const bool isSent =
        m_peerLinks.send(to, {wire::Channel::Answers, frameKind, answers::encodeMessage(message)});
    m_sent.add(isSent ? 1 : 0);
    return isSent;
}

/// Returns who holds the work; empty if this instance does from now on, nothing if no home answers.
/// Without a \p wait the answer is not waited for.
std::optional<std::string> FleetAnswers::claim(const answers::WorkKey &key,
                                               const std::string &staleHolder, Duration wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    // An instance without an open link takes no message, so the next in rank is asked instead.
    std::set<std::string> excluded = silentPeers();
    for (std::size_t n = 0; n < maxHomesTried; ++n) {
        const std::string home = answers::homeOf(servingEntries(m_view), key, excluded);
        if (home.empty())
            break;
        if (home == m_name)
            return answers::claim(m_directory, key, m_name, staleHolder, monotonicNow());
        const std::uint64_t number = ++m_lastNumber;
        if (send(home, answers::Claim{number, key, staleHolder})) {
            m_claims.add();
            return wait > Duration{} ? holderFrom(lock, home, number, wait) : std::nullopt;
        }
        excluded.insert(home);
    }
    return std::nullopt;
}

/// Waits for a home's answer to a claim.
std::optional<std::string> FleetAnswers::holderFrom(std::unique_lock<std::mutex> &lock,
                                                    const std::string &home, std::uint64_t number,
                                                    Duration wait)
{
    PendingClaim &pending = m_pendingClaims[number];
    pending.home = home;
    m_news.wait_for(lock, wait, [&] {
        return pending.holder.has_value();
    });
    std::optional<std::string> holder = std::move(pending.holder);
    m_pendingClaims.erase(number);
    if (!holder)
        noteSilent(home);
    return holder;
}

/// Asks a holder for its answer and returns the kind of the first part, if one comes. The fetch
/// goes on if that is a part of the answer.
std::optional<PartKind> FleetAnswers::fetch(FoundWork &found, const answers::WorkKey &key,
                                            const std::string &bodyFingerprint, Duration wait)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    found.fetch = ++m_lastNumber;
    if (silentPeers().count(found.holder) != 0
        || !send(found.holder, answers::Fetch{found.fetch, key, bodyFingerprint}))
        return std::nullopt;
    answers::FetchedAnswer &answer = m_fetches[found.fetch];
    answer.holder = found.holder;
    answer.lastReceivedAt = monotonicNow();
    m_news.wait_for(lock, wait, [&] {
        return answer.kind.has_value();
    });
    const std::optional<PartKind> kind = answer.kind;
    if (!kind) {
        noteSilent(found.holder);
        send(found.holder, answers::FetchEnd{found.fetch});
    }
    if (kind != PartKind::Running && kind != PartKind::Complete)
        m_fetches.erase(found.fetch);
    return kind;
}

/// Passes an instance over for a while, so that not every request waits for it.
void FleetAnswers::noteSilent(const std::string &peer)
{
    m_unanswered.add();
    m_silent[peer] = monotonicNow() + silenceTime;
}

std::set<std::string> FleetAnswers::silentPeers()
{
    const TimePoint now = monotonicNow();
    std::set<std::string> silent;
    for (auto it = m_silent.begin(); it != m_silent.end();) {
        const bool isOver = it->second <= now;
        if (!isOver)
            silent.insert(it->first);
        it = isOver ? m_silent.erase(it) : std::next(it);
    }
    return silent;
}

} // namespace kumquathaven::entry
