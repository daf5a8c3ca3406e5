#include "kumquathaven/feed/relay.h"

#include <algorithm>

namespace kumquathaven::feed {

namespace {

/// Proofs older than this are useless to any child, whatever its freshness bound, and are not sent:
/// ages on the wire are capped at 10 minutes, and the cap must not make a proof appear newer.
constexpr Duration maxProofAge = std::chrono::minutes(1);

} // namespace

std::vector<Delivery> Relay::restored(std::uint64_t position,
                                      const catalogue::Declaration &declaration,
                                      const std::function<wire::Frame()> &state)
{
    m_publisher.restart(position, declaration);
    if (m_children.empty())
        return {};
    return {{stateFrame(state), {m_children.begin(), m_children.end()}}};
}

RelayReply Relay::receive(SubscriberId child, const Message &message, const HeldPosition &held,
                          const std::function<wire::Frame()> &state, TimePoint now)
{
    RelayReply reply;
    if (const auto *subscribe = std::get_if<Subscribe>(&message)) {
        const bool hasRoom = m_children.count(child) > 0 || m_children.size() < m_maxChildren;
        if (held.position == 0 || !hasRoom) {
            reply.refuse = true;
            return reply;
        }
        m_children.insert(child);
        reply.deliveries = m_publisher.subscribe(child, *subscribe, [&] {
            return stateFrame(state);
        });
    } else if (const auto *request = std::get_if<ProofRequest>(&message)) {
        if (m_children.count(child) > 0)
            recordHeartbeats(*request, now);
        const bool sendsProof = held.provenAt != TimePoint{} && now - held.provenAt <= maxProofAge
            && m_children.count(child) > 0;
        if (sendsProof) {
            const Duration age = std::max(Duration(0), now - held.provenAt);
            reply.deliveries.push_back(
                {toFrame(Proof{request->number, held.position, age}), {child}});
        }
    } else if (std::holds_alternative<Unsubscribe>(message)) {
        remove(child);
    } else {
        reply.refuse = true;
    }
    return reply;
}

std::vector<Delivery> Relay::resume(SubscriberId child, const std::function<wire::Frame()> &state)
{
    return m_publisher.resume(child, [&] {
        return stateFrame(state);
    });
}

void Relay::recordHeartbeats(const ProofRequest &request, TimePoint now)
{
    m_reports.recordHeartbeat(request.instance, request.incarnation, now);
    for (const Heartbeat &it : request.heartbeats)
        m_reports.recordHeartbeat(it.instance, it.incarnation, now - it.age);
}

void Relay::remove(SubscriberId child)
{
    m_children.erase(child);
    m_publisher.remove(child);
}

/// Returns the frame with the newest state, encoding it if the position has changed. The frame
/// keeps the epoch's age at the time of encoding, which is too small when the frame is sent later;
/// it is never too large.
const wire::Frame &Relay::stateFrame(const std::function<wire::Frame()> &state)
{
    if (!m_stateFrame || m_stateFramePosition != m_publisher.position()) {
        m_stateFrame = state();
        m_stateFramePosition = m_publisher.position();
    }
    return *m_stateFrame;
}

} // namespace kumquathaven::feed
