#include "fleetquarantine.h"

#include "upstreamattempt.h"

#include "kumquathaven/base/hex.h"
#include "kumquathaven/base/walltime.h"
#include "kumquathaven/quarantine/messages.h"
#include "kumquathaven/routing/prefix.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::entry {

namespace {

constexpr const char *frameKind = "news";
/// Length of a block. Cache blocks may be longer than the part of a prompt that requests share.
constexpr std::uint32_t quarantineBlockTokens = 256;
/// Blocks behind these are not told apart. The hash of a block covers all blocks before it.
constexpr std::size_t maxBlocks = 64;
/// An engine may crash in the middle of the first events that it writes.
constexpr std::uint32_t minEventsOfAnswer = 2;
/// An upstream that rejects a request has not run it.
constexpr int firstStatusOfRejections = 300;

bool isEmpty(const quarantine::QuarantineNews &news)
{
    return news.crashes.empty() && news.answered.empty() && news.verdicts.empty();
}

} // namespace

std::vector<std::string> subjectsOf(const CallerRequest &request)
{
    std::vector<std::string> names;
    if (!request.route->model.empty()) {
        // A prompt that crashes engines does so for each customer and with all weights.
        const routing::PrefixChain chain({{}, request.model, {}, {}}, request.promptText,
                                         quarantineBlockTokens);
        for (std::size_t n = 0; n + 1 < chain.blocks().size() && n < maxBlocks; ++n)
            names.push_back("block:" + toHex(static_cast<std::uint64_t>(chain.blocks()[n])));
    }
    quarantine::RequestIdentity identity;
    identity.host = request.route->head.name;
    identity.method = request.method;
    identity.target = request.target;
    identity.customer = request.customer;
    identity.body = request.body;
    names.push_back(quarantine::requestName(identity));
    return names;
}

bool mayHaveCrashed(const AttemptReport &report)
{
    return report.error && report.error->code == ErrorCode::UpstreamFailed
        && report.error->outcome != Outcome::NotRun && report.events < minEventsOfAnswer;
}

bool showsSoundRequest(const AttemptReport &report)
{
    const bool isRejected = report.status >= firstStatusOfRejections;
    return (report.end == AttemptEnd::Complete && !isRejected)
        || report.events >= minEventsOfAnswer;
}

FleetQuarantine::FleetQuarantine(std::string ownName, wire::Hub &hub, feed::PeerLinks &peerLinks,
                                 const catalogue::View &view, telemetry::Metrics &metrics)
    : m_name(std::move(ownName))
    , m_peerLinks(peerLinks)
    , m_view(view)
    , m_malformedFrames(metrics.counter("kumquathaven_entry_frames_malformed_total",
                                        "frames of other entries that were not understood",
                                        {{"channel", "quarantine"}}))
    , m_quarantine(metrics)
{
    wire::ChannelHandlers handlers;
    // An entry that starts or was cut off learns the verdicts of each other one.
    handlers.opened = [this](const wire::Peer &peer) {
        const TimePoint now = monotonicNow();
        quarantine::QuarantineNews news;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            news = m_quarantine.allVerdicts();
        }
        if (peer.outgoing && !isEmpty(news))
            send(peer.name, news, now);
    };
    handlers.received = [this](const wire::Peer &peer, const wire::Frame &frame) {
        receive(peer.name, frame.body, monotonicNow());
    };
    hub.handle(wire::Channel::Quarantine, std::move(handlers));
}

Result<void> FleetQuarantine::admit(const std::vector<std::string> &subjects, TimePoint now)
{
    auto admitted = [&] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        updateInstances();
        m_quarantine.judge(now);
        return m_quarantine.admit(subjects, now);
    }();
    tellOthers(now);
    return admitted;
}

/// Tells the quarantine who else may begin trials, if that has changed.
void FleetQuarantine::updateInstances()
{
    const auto instances = m_view.current().instances;
    if (std::exchange(m_instances, instances) == instances)
        return;
    std::vector<std::string> names;
    for (const auto &it : instances->entries)
        names.push_back(it.first);
    m_quarantine.setInstances(m_name, std::move(names));
}

std::optional<Error> FleetQuarantine::withdrawal(const std::vector<std::string> &subjects,
                                                 TimePoint since, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_quarantine.judge(now);
    if (!m_quarantine.isConvictedSince(subjects, since, now))
        return std::nullopt;
    const std::string subject =
        quarantine::convictedSubject(m_quarantine.evidence(), subjects, now);
    return m_quarantine.errorOf(subject, Outcome::Unknown, now);
}

void FleetQuarantine::recordAnswer(const std::string &route, const catalogue::Upstream &upstream,
                                   const std::vector<std::string> &subjects, TimePoint now)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_quarantine.recordLife(route, upstream.head.name, now);
        m_quarantine.recordAnswer(subjects, now);
    }
    tellOthers(now);
}

bool FleetQuarantine::checkUpstream(const std::string &route, const catalogue::Upstream &upstream,
                                    const std::vector<std::string> &subjects, TimePoint now)
{
    const bool isEnded = hasEnded(upstream);
    bool mayRetry = true;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        mayRetry = m_quarantine.mayRetryAfterCrash(subjects, now);
        if (isEnded)
            m_quarantine.recordCrash(route, upstream.head.name, {subjects}, now);
    }
    tellOthers(now);
    return mayRetry || !isEnded;
}

std::string FleetQuarantine::describe(TimePoint now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_quarantine.judge(now);
    return quarantine::describeEvidence(m_quarantine.evidence(), now);
}

bool FleetQuarantine::lift(const std::string &subject, TimePoint now)
{
    const bool isLifted = [&] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_quarantine.lift(subject, now);
    }();
    tellOthers(now);
    return isLifted;
}

void FleetQuarantine::receive(const std::string &peer, const std::string &body, TimePoint now)
{
    const bool isUnderstood = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(news, quarantine::decodeNews(body, peer, now, wallMilliseconds()));
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const quarantine::CrashReport &it : news.crashes)
                m_quarantine.applyReport(it, now, now);
            for (const quarantine::AnsweredSubject &it : news.answered)
                m_quarantine.applyAnswer(it.subject, now - it.age);
            for (const quarantine::SubjectVerdict &it : news.verdicts)
                m_quarantine.applyVerdict(it, now);
            return true;
        },
        [](const Error &) {
            return false;
        });
    if (!isUnderstood)
        m_malformedFrames.add();
    tellOthers(now);
}

/// Sends what is new to each other entry.
void FleetQuarantine::tellOthers(TimePoint now)
{
    quarantine::QuarantineNews news;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        news = m_quarantine.takeNews(now);
    }
    if (isEmpty(news))
        return;
    const catalogue::Snapshot snapshot = m_view.current();
    for (const auto &it : snapshot.instances->entries) {
        if (it.first != m_name)
            send(it.first, news, now);
    }
}

void FleetQuarantine::send(const std::string &to, const quarantine::QuarantineNews &news,
                           TimePoint now)
{
    // An entry without an open link gets the verdicts when one opens.
    m_peerLinks.send(to,
                     {wire::Channel::Quarantine, frameKind,
                      quarantine::encodeNews(news, now, wallMilliseconds())});
}

} // namespace kumquathaven::entry
