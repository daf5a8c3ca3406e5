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
    for (const auto &[subscriber, readsPatches] : m_subscribers)
        (patch && readsPatches ? readers : others).push_back(subscriber);
    std::vector<Delivery> deliveries;
    if (!readers.empty())
        deliveries.push_back({*patch, std::move(readers)});
    const bool needsWhole = !patch || !others.empty();
    const wire::Frame whole = needsWhole ? toFrame(change) : wire::Frame();
    if (!others.empty())
        deliveries.push_back({whole, std::move(others)});
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
    m_subscribers[subscriber] = request.readsPatches;
    if (request.position == 0 || request.position < m_retainedAfter)
        return {{state(), {subscriber}}};
    std::vector<Delivery> deliveries;
    for (const RetainedChange &it : m_retained) {
        if (it.position <= request.position)
            continue;
        if (it.isPatch && !request.readsPatches)
            return {{state(), {subscriber}}};
        deliveries.push_back({it.frame, {subscriber}});
    }
    return deliveries;
}

} // namespace kumquathaven::feed
