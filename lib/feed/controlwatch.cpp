#include "kumquathaven/feed/controlwatch.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Initial interval between two requests, until setInterval() sets another one.
constexpr Duration askInterval = std::chrono::seconds(2);
/// Timeout after which a member that gives no newer proof is abandoned for another one.
constexpr Duration memberPatience = std::chrono::milliseconds(2500);
/// Minimum gain in time for a proof to count as newer. Delays of messages can make an unchanged
/// proof appear newer by less than this.
constexpr Duration newerBy = std::chrono::seconds(1);
/// Time that a change may take to arrive through the relays after control reported it.
constexpr Duration relayPatience = std::chrono::seconds(2);
/// Request numbers start here, so that an answer to a request of the feed is not mistaken for one
/// to the watch.
constexpr std::uint64_t firstNumber = 1ULL << 62U;

} // namespace

ControlWatch::ControlWatch()
    : m_proofs(firstNumber)
    , m_interval(askInterval)
{ }

void ControlWatch::begin(TimePoint now)
{
    m_proofs.forgetRequests();
    m_running = true;
    m_nextAsk = now;
    m_waitingSince.reset();
    m_lagsSince.reset();
}

void ControlWatch::pace(Duration interval, TimePoint next)
{
    m_interval = interval;
    m_nextAsk = next;
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
    m_told = std::max(m_told, proof.position);
    const TimePoint at = now - proof.age;
    if (at > m_newestAt + newerBy) {
        m_newestAt = at;
        m_waitingSince.reset();
    }
}

WatchEffects ControlWatch::tick(const catalogue::Instance &self, std::uint64_t position,
                                TimePoint now)
{
    WatchEffects effects;
    m_proofs.reach(position);
    if (!m_running)
        return effects;
    if (m_waitingSince && now - *m_waitingSince > memberPatience) {
        m_waitingSince.reset();
        effects.changeMember = true;
        return effects;
    }
    if (position >= m_told)
        m_lagsSince.reset();
    else if (!m_lagsSince)
        m_lagsSince = now;
    effects.relayLags = m_lagsSince && now - *m_lagsSince > relayPatience;
    if (now >= m_nextAsk) {
        m_nextAsk = now + m_interval;
        if (!m_waitingSince)
            m_waitingSince = now;
        effects.ask = ProofRequest{m_proofs.ask(now), self.name, self.incarnation};
    }
    return effects;
}

} // namespace kumquathaven::feed
