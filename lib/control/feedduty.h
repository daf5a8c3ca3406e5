// The duty that feeds the replicated state to entry instances and keeps this member's freshness
// proof up to date.

#ifndef KUMQUATHAVEN_CONTROL_FEEDDUTY_H
#define KUMQUATHAVEN_CONTROL_FEEDDUTY_H

#include "cataloguemachine.h"
#include "firststates.h"
#include "logduty.h"
#include "membermessages.h"
#include "platformlist.h"

#include "kumquathaven/control/departureages.h"
#include "kumquathaven/control/liveness.h"
#include "kumquathaven/feed/prooftracker.h"
#include "kumquathaven/feed/publisher.h"
#include "kumquathaven/feed/weightsrecord.h"
#include "kumquathaven/wire/hub.h"

#include <atomic>
#include <optional>
#include <string>

namespace kumquathaven::control {

/// Counters and gauges of the duty, for metrics.
struct FeedCounts
{
    std::size_t subscribers = 0;
    /// Bytes of the changes retained for subscribers that reconnect.
    std::size_t retainedBytes = 0;
    std::uint64_t framesDropped = 0;
    std::uint64_t snapshotsSent = 0;
    /// Instances that were redirected to relays for their first state.
    std::uint64_t redirected = 0;
    /// Times that a subscriber was sent no more changes since its link did not keep up.
    std::uint64_t heldBack = 0;
    std::uint64_t changesSent = 0;
    std::uint64_t declaredDead = 0;
    /// Time since the platform's list was written; empty if none was read.
    std::optional<Duration> platformListAge;
    /// Age of this member's freshness proof; empty if it has none.
    std::optional<Duration> proofAge;
};

/// Settings of a feed duty.
struct FeedSettings
{
    /// Maximum age of a platform list; hints are not taken from an older one.
    Duration maxListAge = std::chrono::seconds(60);
    /// Whether the links of the control members are published in the catalogue, from which entries
    /// read them.
    bool publishesMembers = false;
    /// An instance without a heartbeat for this long is declared dead.
    Duration instanceLease = std::chrono::seconds(8);
    /// Ages of weights versions are sent while one of the model was set within this time.
    Duration recentWeights = std::chrono::seconds(60);
};

/// Serves the feed to entry instances, obtains freshness proofs from the leader, and on the leader
/// declares instances dead and maintains hints.
class FeedDuty
{
public:
    /// Sends a message to another member by its instance name.
    using SendToMember = std::function<void(const std::string &, const MemberMessage &)>;

    FeedDuty(wire::Hub &hub, LogDuty &log, const CatalogueMachine &machine, SendToMember send,
             FeedSettings settings);
    FeedDuty(const FeedDuty &) = delete;
    FeedDuty &operator=(const FeedDuty &) = delete;

    /// Sets the handler of reports about rollouts, which is called while this member leads. It must
    /// be set before run().
    void onReport(std::function<void(const feed::RolloutReport &)> handler)
    {
        m_reportHandler = std::move(handler);
    }

    /// Runs until the signal is set. May be called again after a failure: the links of subscribers
    /// are then closed, and they subscribe again.
    void run(const runtime::StopSignal &stop);

    // The following functions may be called by any thread.
    /// \p bytes is the size of the encoded change.
    void changed(const feed::ChangeAt &change, std::size_t bytes);
    void restored();
    void closed(wire::LinkId link);
    void receive(const wire::Peer &peer, const wire::Frame &frame);
    void receive(const std::string &member, const MemberMessage &message);
    void receive(const PlatformList &list);

    FeedCounts counts() const;

private:
    struct Changed
    {
        feed::ChangeAt change;
        std::size_t bytes = 0;
    };
    struct Closed
    {
        wire::LinkId link = 0;
    };
    struct FromEntry
    {
        wire::LinkId link = 0;
        std::string peer;
        wire::Frame frame;
    };
    struct FromMember
    {
        std::string member;
        MemberMessage message;
    };
    using Event = std::variant<Changed, Closed, FromEntry, FromMember, PlatformList>;

    static std::size_t bytesOf(const Event &event);
    void push(Event event);
    void handle(const Changed &event, TimePoint now);
    void handle(const Closed &event, TimePoint now);
    void handle(const FromEntry &event, TimePoint now);
    void handle(const FromMember &event, TimePoint now);
    void handle(const PlatformList &event, TimePoint now);
    void answerEntry(const FromEntry &event, const feed::Message &message, TimePoint now);
    void subscribe(wire::LinkId link, const std::string &instance, const feed::Subscribe &subscribe,
                   TimePoint now);
    void holdBack(wire::LinkId link, std::uint64_t position);
    void resumeSubscribers(TimePoint now);
    void answerProof(wire::LinkId link, std::uint64_t number, TimePoint now);
    const wire::Frame &stateFrame(TimePoint now);
    void restartFeed();
    void logDeclaration(const feed::ChangeAt &change,
                        const std::vector<feed::Delivery> &deliveries);
    void tick(TimePoint now);
    void requestProof(TimePoint now);
    void declareDead(const LogStatus &status, TimePoint now);
    void updateHints(const LogStatus &status, TimePoint now);
    void updateControlLinks(const LogStatus &status);
    void proposeOrForward(const catalogue::Change &change);
    void takeForwarded(const std::string &member, const ForwardReport &forwarded);
    void sendWeights(const std::string &member, TimePoint now);
    void deliverWeights(wire::LinkId link, TimePoint now);
    void takeOrForward(const feed::RolloutReport &report);
    void deliver(const std::vector<feed::Delivery> &deliveries);

    wire::Hub &m_hub;
    LogDuty &m_log;
    const CatalogueMachine &m_machine;
    SendToMember m_send;
    std::function<void(const feed::RolloutReport &)> m_reportHandler;
    const Duration m_maxListAge;
    const bool m_publishesMembers;
    const Duration m_instanceLease;
    BoundedRing<Event> m_ring;
    std::atomic<bool> m_mustRestart{true};
    std::atomic<std::uint64_t> m_framesDropped{0};

    feed::Publisher m_publisher;
    feed::ProofTracker m_proofs;
    StateBudget m_stateBudget;
    Liveness m_liveness;
    DepartureAges m_departures;
    feed::WeightsRecord m_weights;
    std::optional<PlatformList> m_list;
    std::set<wire::LinkId> m_links;
    std::optional<wire::Frame> m_stateFrame;
    std::uint64_t m_stateFramePosition = 0;
    TimePoint m_provenAt;
    TimePoint m_lastTick;
    TimePoint m_collectingSince;
    TimePoint m_nextProof;
    TimePoint m_nextDeathCheckAt;
    std::string m_leader;

    mutable std::mutex m_mutex;
    FeedCounts m_counts;
};

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_CONTROL_FEEDDUTY_H
