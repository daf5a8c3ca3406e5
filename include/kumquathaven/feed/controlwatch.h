// What an entry instance that a relay feeds still asks control for.

#ifndef KUMQUATHAVEN_FEED_CONTROLWATCH_H
#define KUMQUATHAVEN_FEED_CONTROLWATCH_H

#include "kumquathaven/feed/messages.h"
#include "kumquathaven/feed/prooftracker.h"

#include <optional>

namespace kumquathaven::feed {

/// What the watch wants done.
struct WatchEffects
{
    /// To be sent to control.
    std::optional<ProofRequest> request;
    /// Control gives no newer proof: try another member.
    bool changeMember = false;
    /// Control told of a change that the relay has not passed on for too long.
    bool relayLags = false;
};

/// Asks a member for a proof now and then, which shows a relay that holds changes back and a member
/// that is of no use. That the instance lives, control learns through the relays.
class ControlWatch
{
public:
    ControlWatch();

    /// The instance began to be fed by a relay, or the link to a member opened.
    void begin(TimePoint now);

    /// The instance is fed by control, or the link to the member closed.
    void end();

    /// Takes an answer of the member.
    void receive(const Proof &proof, TimePoint now);

    /// Sets the time between two requests, and when the next one is due. It begins with 2 s, at
    /// once.
    void setInterval(Duration interval, TimePoint next);

    /// To be called every few tens of milliseconds. \p position is what the instance holds.
    WatchEffects tick(const catalogue::Instance &self, std::uint64_t position, TimePoint now);

    /// The newest proof of control for what is held. The default: there is none.
    TimePoint provenAt() const { return m_proofs.provenAt(); }

private:
    ProofTracker m_proofs;
    bool m_running = false;
    TimePoint m_nextRequestAt;
    Duration m_interval;
    /// When the first request was sent that no newer proof has answered.
    std::optional<TimePoint> m_unansweredSince;
    /// About when the newest proof was given.
    TimePoint m_newestAt;
    /// The newest position that control told of, and when it first told of one that was not held.
    std::uint64_t m_reportedPosition = 0;
    std::optional<TimePoint> m_lagsSince;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_CONTROLWATCH_H
