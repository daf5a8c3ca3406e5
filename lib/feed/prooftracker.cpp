#include "kumquathaven/feed/prooftracker.h"

#include <algorithm>
#include <iterator>

namespace kumquathaven::feed {

namespace {

constexpr std::size_t maxTracked = 64;

} // namespace

std::uint64_t ProofTracker::request(TimePoint now)
{
    m_requests[++m_number] = now;
    if (m_requests.size() > maxTracked)
        m_requests.erase(m_requests.begin());
    return m_number;
}

void ProofTracker::answer(std::uint64_t number, std::uint64_t position, Duration age)
{
    const auto it = m_requests.find(number);
    if (it == m_requests.end())
        return;
    // The peer measured the age after the request was sent, so subtracting the age from the sending
    // time makes the proof appear older by the transit time of the request, never newer.
    const TimePoint at = it->second - age;
    m_requests.erase(m_requests.begin(), std::next(it));
    TimePoint &pendingProof = m_pendingProofs[position];
    pendingProof = std::max(pendingProof, at);
    if (m_pendingProofs.size() > maxTracked)
        m_pendingProofs.erase(m_pendingProofs.begin());
    advanceTo(m_position);
}

void ProofTracker::advanceTo(std::uint64_t position)
{
    m_position = std::max(m_position, position);
    while (!m_pendingProofs.empty() && m_pendingProofs.begin()->first <= m_position) {
        m_provenAt = std::max(m_provenAt, m_pendingProofs.begin()->second);
        m_pendingProofs.erase(m_pendingProofs.begin());
    }
}

} // namespace kumquathaven::feed
