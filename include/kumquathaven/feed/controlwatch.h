// Monitors control and the relay of an entry instance that a relay feeds, by requesting proofs from
// control at intervals.

#ifndef KUMQUATHAVEN_FEED_CONTROLWATCH_H
#define KUMQUATHAVEN_FEED_CONTROLWATCH_H

#include "kumquathaven/feed/messages.h"
#include "kumquathaven/feed/prooftracker.h"

#include <optional>

namespace kumquathaven::feed {

/// Actions that the watch requests from its owner.
struct WatchEffects
{
    /// Request to send to control.
    std::optional<ProofRequest> request;
    /// The control member gives no newer proof: connect to another member.
    bool changeMember = false;
    /// Control has reported a change that the relay has not forwarded within the tolerance.
    bool relayLags = false;
};

/// Requests a proof from a member at intervals, which reveals a relay that holds changes back and a
/// member that gives no newer proofs. Control learns through the relays, not through these
/// requests, that the instance is alive.
class ControlWatch
{
public:
    ControlWatch();

    /// Starts the watch. To be called when a relay starts to feed the instance, or when the link to
    /// a member opens.
    void begin(TimePoint now);

    /// Stops the watch. To be called when control feeds the instance again, or when the link to the
    /// member closes.
    void end();

    /// Handles the member's answer to a request.
    void receive(const Proof &proof, TimePoint now);

    /// Sets the interval between two requests and the time of the next request. Initially the
    /// interval is 2 s and the first request is due at once.
    void setInterval(Duration interval, TimePoint next);

    /// Sends due requests and checks the timeouts. To be called every few tens of milliseconds.
    /// \p position is the position that the instance holds.
    WatchEffects tick(const catalogue::Instance &self, std::uint64_t position, TimePoint now);

    /// Returns the time of control's newest proof for the held position. The default value means
    /// that there is none.
    TimePoint provenAt() const { return m_proofs.provenAt(); }

private:
    ProofTracker m_proofs;
    bool m_running = false;
    TimePoint m_nextRequestAt;
    Duration m_interval;
    /// Sending time of the first request after the newest proof; empty if there is none.
    std::optional<TimePoint> m_unansweredSince;
    /// Approximate time at which control gave the newest proof.
    TimePoint m_newestProofAt;
    /// The newest position that control has reported.
    std::uint64_t m_reportedPosition = 0;
    /// Since when the held position has been behind the reported one; empty if it is not.
    std::optional<TimePoint> m_lagsSince;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_CONTROLWATCH_H
