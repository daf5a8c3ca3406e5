// Tracks the newest time at which the held position was proven to be the latest one.

#ifndef KUMQUATHAVEN_FEED_PROOFTRACKER_H
#define KUMQUATHAVEN_FEED_PROOFTRACKER_H

#include "kumquathaven/base/time.h"

#include <cstdint>
#include <map>

namespace kumquathaven::feed {

/// Numbers the requests to a peer, measures the age of its answers on the local clock, and retains
/// proofs of positions that have not been reached yet. A delayed answer makes a proof appear older
/// than it is, never younger.
class ProofTracker
{
public:
    /// If the answers of two trackers arrive over one link, the trackers must use separate number
    /// ranges: \p lastNumber is the number before the first request.
    explicit ProofTracker(std::uint64_t lastNumber = 0)
        : m_number(lastNumber)
    { }

    /// Registers a request that is sent at \p now and returns its number.
    std::uint64_t request(TimePoint now);

    /// Discards the open requests, whose answers come from another peer or not at all.
    void forgetRequests() { m_requests.clear(); }

    /// Returns whether a request is still unanswered.
    bool isOpen(std::uint64_t number) const { return m_requests.count(number) > 0; }

    /// Handles the answer to a request: \p age before the answer was given, no change after
    /// \p position had been accepted. An answer without an open request is ignored.
    void answer(std::uint64_t number, std::uint64_t position, Duration age);

    /// Records that all changes up to a position are held.
    void advanceTo(std::uint64_t position);

    /// Returns the time of the newest proof for the held position. The default value means that
    /// there is none.
    TimePoint provenAt() const { return m_provenAt; }

private:
    std::uint64_t m_number;
    std::uint64_t m_position = 0;
    TimePoint m_provenAt;
    /// Sending times of the unanswered requests, by number.
    std::map<std::uint64_t, TimePoint> m_requests;
    /// The newest proofs of positions that are not reached yet, by position.
    std::map<std::uint64_t, TimePoint> m_pendingProofs;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PROOFTRACKER_H
