// Keeps the newest time at which a held position was proven to be the newest.

#ifndef KUMQUATHAVEN_FEED_PROOFTRACKER_H
#define KUMQUATHAVEN_FEED_PROOFTRACKER_H

#include "kumquathaven/base/time.h"

#include <cstdint>
#include <map>

namespace kumquathaven::feed {

/// Asks a peer, counts the age of its answers on the own clock, and holds answers about positions
/// that are not yet reached. A delayed answer makes a proof look older than it is, never younger.
class ProofTracker
{
public:
    /// Two trackers whose answers come over one link number their requests apart: \p before is the
    /// number before the first request.
    explicit ProofTracker(std::uint64_t lastNumber = 0)
        : m_number(lastNumber)
    { }

    /// Returns the number of a request that is sent at \p now.
    std::uint64_t request(TimePoint now);

    /// Forgets the open requests: their answers come from another peer or not at all.
    void forgetRequests() { m_requests.clear(); }

    /// Returns whether a request waits for its answer.
    bool isOpen(std::uint64_t number) const { return m_requests.count(number) > 0; }

    /// Takes the answer to a request: when it was given, nothing after \p position had been
    /// accepted \p age ago.
    void answer(std::uint64_t number, std::uint64_t position, Duration age);

    /// Takes note that everything up to a position is held.
    void advanceTo(std::uint64_t position);

    /// The newest proof for what is held. The default: there is none.
    TimePoint provenAt() const { return m_provenAt; }

private:
    std::uint64_t m_number;
    std::uint64_t m_position = 0;
    TimePoint m_provenAt;
    /// Sending times of the requests that are not answered.
    std::map<std::uint64_t, TimePoint> m_requests;
    /// The newest proofs of positions that are not reached.
    std::map<std::uint64_t, TimePoint> m_waiting;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_PROOFTRACKER_H
