#include "kumquathaven/feed/controlwatch.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Initial interval between two requests, until setInterval() sets another one.
constexpr Duration initialInterval = std::chrono::seconds(2);
/// Timeout after which a member that gives no newer proof is abandoned for another one.
constexpr Duration memberTimeout = std::chrono::milliseconds(2500);
/// Minimum gain in time for a proof to count as newer. Delays of messages can make an unchanged
/// proof appear newer by less than this.
constexpr Duration minProofGain = std::chrono::seconds(1);
/// Time that a change may take to arrive through the relays after control reported it.
constexpr Duration maxRelayLag = std::chrono::seconds(2);
/// Request numbers start here, so that an answer to a request of the feed is not mistaken for one
/// to the watch.
constexpr std::uint64_t firstNumber = 1ULL << 62U;

} // namespace

ControlWatch::ControlWatch()
    : m_proofs(firstNumber)
    , m_interval(initialInterval)
{ }

void ControlWatch::begin(TimePoint now)
{
    m_proofs.forgetRequests();
    m_running = true;
    m_nextRequestAt = now;
    m_unansweredSince.reset();
    m_lagsSince.reset();
}

void ControlWatch::setInterval(Duration interval, TimePoint next)
{
    m_interval = interval;
    m_nextRequestAt = next;
}

void ControlWatch::end()
{
    m_running = false;
    m_lagsSince.reset();
}

void ControlWatch::receive(const Proof &proof, TimePoint now)
{
    if (!m_running || !m_proofs.isOpen(proof.number))
        return;
    m_proofs.answer(proof.number, proof.position, proof.age);
    m_reportedPosition = std::max(m_reportedPosition, proof.position);
    const TimePoint at = now - proof.age;
    if (at > m_newestProofAt + minProofGain) {
        m_newestProofAt = at;
        m_unansweredSince.reset();
    }
}

WatchEffects ControlWatch::tick(const catalogue::Instance &self, std::uint64_t position,
                                TimePoint now)
{
    WatchEffects effects;
    m_proofs.advanceTo(position);
    if (!m_running)
        return effects;
    if (m_unansweredSince && now - *m_unansweredSince > memberTimeout) {
        m_unansweredSince.reset();
        effects.changeMember = true;
        return effects;
    }
    if (position >= m_reportedPosition)
        m_lagsSince.reset();
    else if (!m_lagsSince)
        m_lagsSince = now;
    effects.relayLags = m_lagsSince && now - *m_lagsSince > maxRelayLag;
    if (now >= m_nextRequestAt) {
        m_nextRequestAt = now + m_interval;
        if (!m_unansweredSince)
            m_unansweredSince = now;
        effects.request = ProofRequest{m_proofs.request(now), self.name, self.incarnation};
    }
    return effects;
}

} // namespace kumquathaven::feed
