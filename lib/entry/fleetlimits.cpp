#include "fleetlimits.h"

#include "kumquathaven/limits/codec.h"

#include <algorithm>

namespace kumquathaven::entry {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(5);
/// Frames of other entries that may wait. What does not fit is repeated by its sender.
constexpr std::size_t maxWaitingFrames = 8192;
constexpr std::size_t maxWaitingBytes = std::size_t{8} * 1024 * 1024;
/// Beyond what the limits themselves wait.
constexpr Duration decisionMargin = std::chrono::seconds(2);

constexpr const char *frameKind = "limits";

std::optional<limits::BucketLimits> limitsOf(const catalogue::Limits &limits)
{
    if (limits.rateTokensPerSecond == 0)
        return std::nullopt;
    const auto rate = static_cast<double>(limits.rateTokensPerSecond);
    const double burst = limits.burstTokens == 0 ? rate : static_cast<double>(limits.burstTokens);
    return limits::BucketLimits{rate, burst};
}

std::string customerBucket(const std::string &name)
{
    return "customer/" + name;
}

std::string keyBucket(const std::string &name)
{
    return "key/" + name;
}

limits::Config configOf(const settings::Settings &settings)
{
    limits::Config config;
    config.freshnessBound = settings.freshnessBound;
    return config;
}

} // namespace

std::map<std::string, limits::BucketLimits> bucketLimits(const catalogue::Catalogue &catalogue)
{
    std::map<std::string, limits::BucketLimits> buckets;
    for (const auto &[name, it] : catalogue.customers) {
        if (const auto own = limitsOf(it.head.limits))
            buckets[customerBucket(name)] = *own;
    }
    for (const auto &[name, it] : catalogue.keys) {
        if (const auto own = limitsOf(it.head.limits))
            buckets[keyBucket(name)] = *own;
    }
    return buckets;
}

std::vector<limits::Draw> drawsOf(const catalogue::Catalogue &catalogue,
                                  const std::string &customer, const std::string &keyName)
{
    std::vector<limits::Draw> draws;
    const auto owner = catalogue.customers.find(customer);
    if (owner != catalogue.customers.end()) {
        if (const auto own = limitsOf(owner->second.head.limits))
            draws.push_back({customerBucket(customer), *own});
    }
    const auto key = catalogue.keys.find(keyName);
    if (key != catalogue.keys.end()) {
        if (const auto own = limitsOf(key->second.head.limits))
            draws.push_back({keyBucket(keyName), *own});
    }
    return draws;
}

FleetLimits::FleetLimits(const settings::Settings &settings, std::uint64_t incarnation,
                         wire::Hub &hub, feed::PeerLinks &peerLinks, const catalogue::View &view,
                         telemetry::Metrics &metrics)
    : m_peerLinks(peerLinks)
    , m_view(view)
    , m_sent(metrics.counter("kumquathaven_limits_frames_total", "frames sent to other entries"))
    , m_bytesSent(metrics.counter("kumquathaven_limits_bytes_sent_total",
                                  "bytes of messages sent to other entries"))
    , m_bytesReceived(metrics.counter("kumquathaven_limits_bytes_received_total",
                                      "bytes of messages received from other entries"))
    , m_malformedFrames(metrics.counter("kumquathaven_entry_frames_malformed_total",
                                        "frames of other entries that were not understood",
                                        {{"channel", "limits"}}))
    , m_refused(metrics.counter("kumquathaven_limits_refused_total",
                                "requests refused because their customer's rate is used up"))
    , m_waits(metrics.histogram("kumquathaven_limits_wait_seconds", "wait for tokens"))
    , m_homes(metrics.gauge("kumquathaven_limits_homes", "buckets that this entry is the home of"))
    , m_ring(maxWaitingFrames, maxWaitingBytes,
             [](const Received &it) {
                 return it.body.size();
             })
    , m_node(limits::makeNode(settings.instance, incarnation, configOf(settings)))
{
    wire::ChannelHandlers handlers;
    handlers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        m_bytesReceived.add(frame.body.size());
        m_ring.tryPush({peer.name, frame.body});
    };
    hub.handle(wire::Channel::Slices, std::move(handlers));
}

TokenHold FleetLimits::reserve(const std::vector<limits::Draw> &draws, const limits::Cost &cost)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const TimePoint now = monotonicNow();
    limits::Effects effects;
    limits::Decision decision = limits::reserve(m_node, draws, cost, now, effects);
    perform(effects);
    TokenHold hold;
    hold.reservation = decision.reservation;
    hold.refusal = std::move(decision.refusal);
    if (decision.kind == limits::Decision::Kind::Waiting) {
        const Duration patience = m_node.spender.config.maxWait + decisionMargin;
        m_decided.wait_for(lock, patience, [&] {
            return m_resolutions.count(hold.reservation) != 0;
        });
        const auto it = m_resolutions.find(hold.reservation);
        if (it == m_resolutions.end()) {
            // The duty has ended.
            limits::settle(m_node, hold.reservation, 0, monotonicNow(), effects);
            hold.refusal = Error{ErrorCode::Unavailable,      "limits.reserve", {},
                                 "the limits gave no answer", Outcome::NotRun,  decisionMargin};
        } else {
            hold.refusal = std::move(it->second);
            m_resolutions.erase(it);
        }
    }
    m_waits.observe(toSeconds(monotonicNow() - now));
    if (hold.refusal)
        m_refused.add();
    return hold;
}

void FleetLimits::startRun(std::uint64_t reservation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    limits::startRun(m_node, reservation);
}

void FleetLimits::settle(std::uint64_t reservation, std::uint64_t used)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    limits::Effects effects;
    limits::settle(m_node, reservation, used, monotonicNow(), effects);
    perform(effects);
}

void FleetLimits::run(const runtime::StopSignal &stop)
{
    TimePoint nextTick = monotonicNow();
    while (!stop.requested()) {
        const Duration wait =
            std::max(Duration{}, std::chrono::duration_cast<Duration>(nextTick - monotonicNow()));
        std::optional<Received> received = m_ring.pop(wait);
        const std::lock_guard<std::mutex> lock(m_mutex);
        limits::Effects effects;
        if (received)
            takeReceived(*received, effects);
        if (monotonicNow() >= nextTick) {
            nextTick = monotonicNow() + tickInterval;
            takeView(effects);
            limits::tick(m_node, monotonicNow(), effects);
        }
        perform(effects);
    }
}

void FleetLimits::takeView(limits::Effects &effects)
{
    const catalogue::Snapshot snapshot = m_view.current();
    const bool changed = snapshot.catalogue != m_snapshot.catalogue
        || snapshot.instances != m_snapshot.instances || snapshot.provenAt != m_snapshot.provenAt;
    if (!changed)
        return;
    countHomes();
    if (snapshot.catalogue != m_snapshot.catalogue)
        m_limits = bucketLimits(*snapshot.catalogue);
    if (snapshot.instances != m_snapshot.instances)
        m_peerLinks.keep(*snapshot.instances);
    m_snapshot = snapshot;
    limits::configure(m_node, snapshot.instances, m_limits, snapshot.provenAt, monotonicNow(),
                      effects);
}

void FleetLimits::countHomes()
{
    const auto &buckets = m_node.keeper.buckets;
    const auto homes = std::count_if(buckets.begin(), buckets.end(), [](const auto &it) {
        return it.second.role == limits::Bucket::Role::Home;
    });
    m_homes.set(static_cast<double>(homes));
}

void FleetLimits::takeReceived(const Received &received, limits::Effects &effects)
{
    const std::vector<limits::Message> messages = orElse(
        [&] {
            return limits::decodeMessages(received.body, received.peer);
        },
        [this](const Error &) {
            m_malformedFrames.add();
            return std::vector<limits::Message>();
        });
    for (const limits::Message &it : messages)
        limits::handleMessage(m_node, received.peer, it, monotonicNow(), effects);
}

void FleetLimits::perform(limits::Effects &effects)
{
    std::map<std::string, std::vector<limits::Message>> byTarget;
    for (limits::Envelope &it : effects.messages)
        byTarget[it.to].push_back(std::move(it.message));
    for (const auto &[to, messages] : byTarget)
        send(to, messages);
    for (limits::Resolution &it : effects.resolutions)
        m_resolutions[it.reservation] = std::move(it.refusal);
    if (!effects.resolutions.empty())
        m_decided.notify_all();
    effects = {};
}

void FleetLimits::send(const std::string &to, const std::vector<limits::Message> &messages)
{
    const wire::Frame frame{wire::Channel::Slices, frameKind, limits::encodeMessages(messages)};
    m_bytesSent.add(frame.body.size());
    // Every message that matters is repeated until it is answered.
    m_peerLinks.send(to, frame);
    m_sent.add();
}

} // namespace kumquathaven::entry
