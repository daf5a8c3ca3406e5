#include "kumquathaven/feed/publisher.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>

namespace kumquathaven::feed {

void Publisher::restart(std::uint64_t position, const catalogue::Declaration &declaration)
{
    m_retained.clear();
    m_retainedBytes = 0;
    m_retainedAfter = position;
    m_position = position;
    m_declaration = declaration.text;
}

std::vector<Delivery> Publisher::publish(const ChangeAt &change)
{
    m_position = change.position;
    std::optional<wire::Frame> patch = patchFrame(change);
    std::vector<SubscriberId> readers;
    std::vector<SubscriberId> others;
    for (const auto &[subscriber, subscription] : m_subscribers) {
        if (!subscription.heldAfter)
            (patch && subscription.readsPatches ? readers : others).push_back(subscriber);
    }
    std::vector<Delivery> deliveries;
    if (!readers.empty())
        deliveries.push_back({*patch, std::move(readers), change.position});
    const bool needsWhole = !patch || !others.empty();
    const wire::Frame whole = needsWhole ? toFrame(change) : wire::Frame();
    if (!others.empty())
        deliveries.push_back({whole, std::move(others), change.position});
    m_retained.push_back({change.position, patch ? *patch : whole, patch.has_value()});
    m_retainedBytes += m_retained.back().frame.body.size();
    while (m_retained.size() > maxRetainedChanges || m_retainedBytes > maxRetainedBytes) {
        m_retainedAfter = m_retained.front().position;
        m_retainedBytes -= m_retained.front().frame.body.size();
        m_retained.pop_front();
    }
    return deliveries;
}

/// Returns the frame with the difference from the declaration before if the change is a declaration
/// and the frame is shorter than the text, and remembers the declaration.
std::optional<wire::Frame> Publisher::patchFrame(const ChangeAt &change)
{
    const auto *declare = std::get_if<catalogue::Declare>(&change.change.body);
    if (!declare || !declare->declaration.text)
        return std::nullopt;
    const std::shared_ptr<const std::string> before =
        std::exchange(m_declaration, declare->declaration.text);
    if (!before)
        return std::nullopt;
    DeclarationPatchAt at{change.position,
                          change.revision,
                          change.epoch,
                          declare->declaration.version,
                          stableHash(*m_declaration),
                          {}};
    at.patch = change.patch ? *change.patch : catalogue::difference(*before, *m_declaration);
    wire::Frame frame = toFrame(at);
    if (frame.body.size() >= m_declaration->size())
        return std::nullopt;
    return frame;
}

std::vector<Delivery> Publisher::subscribe(SubscriberId subscriber, const Subscribe &request,
                                           const std::function<wire::Frame()> &state)
{
    m_subscribers[subscriber] = {request.readsPatches, {}};
    if (request.position == 0 || request.position < m_retainedAfter)
        return {{state(), {subscriber}}};
    std::vector<Delivery> deliveries;
    std::size_t bytes = 0;
    for (const RetainedChange &it : m_retained) {
        if (it.position <= request.position)
            continue;
        if (it.isPatch && !request.readsPatches)
            return {{state(), {subscriber}}};
        bytes += it.frame.body.size();
        deliveries.push_back({it.frame, {subscriber}, it.position});
    }
    if (bytes <= maxBacklogBytes)
        return deliveries;
    wire::Frame whole = state();
    if (whole.body.size() < bytes)
        return {{std::move(whole), {subscriber}}};
    return deliveries;
}

void Publisher::holdBack(SubscriberId subscriber, std::uint64_t position)
{
    const auto it = m_subscribers.find(subscriber);
    if (it != m_subscribers.end() && !it->second.heldAfter)
        it->second.heldAfter = position - 1;
}

bool Publisher::isHeldBack(SubscriberId subscriber) const
{
    const auto it = m_subscribers.find(subscriber);
    return it != m_subscribers.end() && it->second.heldAfter;
}

std::vector<SubscriberId> Publisher::heldBack() const
{
    std::vector<SubscriberId> found;
    for (const auto &[subscriber, subscription] : m_subscribers) {
        if (subscription.heldAfter)
            found.push_back(subscriber);
    }
    return found;
}

std::vector<Delivery> Publisher::resume(SubscriberId subscriber,
                                        const std::function<wire::Frame()> &state)
{
    const auto it = m_subscribers.find(subscriber);
    if (it == m_subscribers.end() || !it->second.heldAfter)
        return {};
    return subscribe(subscriber, {*it->second.heldAfter, true, it->second.readsPatches}, state);
}

} // namespace kumquathaven::feed
