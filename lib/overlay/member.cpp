#include "kumquathaven/overlay/member.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquathaven::overlay {

namespace {

constexpr Duration cleaningInterval = std::chrono::seconds(5);

} // namespace

Member::Member(TreeNode self, MemberConfig config)
    : m_self(std::move(self))
    , m_config(config)
{
    m_uplink.times = config.uplink;
    m_aggregate.config = config.aggregate;
}

/// Converts the steps of the uplink to effects.
void Member::apply(const UplinkStep &step, MemberEffects &effects, TimePoint now)
{
    if (step.hasLostParent && m_parentLink != 0) {
        forgetLostParent();
        m_lostLink = std::exchange(m_parentLink, 0);
        m_lostAt = now;
        suspendLink(m_aggregate, m_lostLink);
        m_parentNote.clear();
    }
    for (const std::string &it : step.disconnect)
        effects.disconnect.push_back(it);
    if (!step.connect.empty())
        effects.connect.push_back(step.connect);
    updateBetweenParents();
}

void Member::forgetLostParent()
{
    if (m_lostLink != 0)
        removeLink(m_aggregate, std::exchange(m_lostLink, 0));
}

void Member::updateBetweenParents()
{
    m_aggregate.isBetweenParents = m_parentLink == 0 && !isRoot();
    // A root will not hand over what happened before.
    if (m_parentLink == 0 && isRoot()) {
        m_aggregate.undeliveredEvents.clear();
        m_aggregate.undeliveredIncrements.clear();
    }
}

MemberEffects Member::setInstances(const std::vector<TreeNode> &nodes, TimePoint now)
{
    MemberEffects effects;
    apply(setCandidates(m_uplink, parentCandidates(nodes, m_self), now), effects, now);
    return effects;
}

MemberEffects Member::join(ChildId child, const TreeNode &node, TimePoint now)
{
    MemberEffects effects;
    // A child that preceded this instance could close a cycle.
    const bool isAccepted = precedes(m_self, node) && node.name != m_self.name
        && m_children.size() < m_config.maxChildren;
    if (!isAccepted) {
        effects.disconnectChildren.push_back(child);
        return effects;
    }
    for (auto it = m_children.begin(); it != m_children.end();) {
        const auto following = std::next(it);
        // The child has lost its earlier link, although that has not been noticed here.
        if (it->second.name == node.name) {
            if (it->first != child)
                effects.disconnectChildren.push_back(it->first);
            removeChild(it);
        }
        it = following;
    }
    m_children[child] = {++m_lastLink, node.name, now};
    addLink(m_aggregate, m_lastLink, false, now);
    takeDueUpdates(effects, now);
    return effects;
}

MemberEffects Member::closed(const std::string &uplink, TimePoint now)
{
    MemberEffects effects;
    apply(recordClosed(m_uplink, uplink, now), effects, now);
    return effects;
}

void Member::childClosed(ChildId child)
{
    const auto it = m_children.find(child);
    if (it != m_children.end())
        removeChild(it);
}

void Member::removeChild(std::map<ChildId, Child>::iterator child)
{
    removeLink(m_aggregate, child->second.link);
    m_children.erase(child);
}

void Member::deliver(const Update &update, MemberEffects &effects) const
{
    effects.events.insert(effects.events.end(), update.events.begin(), update.events.end());
    effects.increments.insert(effects.increments.end(), update.increments.begin(),
                              update.increments.end());
    effects.facts.insert(effects.facts.end(), update.facts.begin(), update.facts.end());
}

MemberEffects Member::receive(const std::string &uplink, const Update &update, TimePoint now)
{
    MemberEffects effects;
    apply(recordHeard(m_uplink, uplink, now), effects, now);
    if (uplink != m_uplink.parent)
        return effects;
    if (m_parentLink == 0) {
        forgetLostParent();
        m_parentLink = ++m_lastLink;
        addLink(m_aggregate, m_parentLink, true, now);
        updateBetweenParents();
    }
    m_parentNote = update.note;
    applyUpdate(m_aggregate, m_parentLink, update, now);
    deliver(update, effects);
    takeDueUpdates(effects, now);
    return effects;
}

MemberEffects Member::receiveFromChild(ChildId child, const Update &update, TimePoint now)
{
    MemberEffects effects;
    const auto it = m_children.find(child);
    if (it == m_children.end())
        return effects;
    it->second.heardAt = now;
    applyUpdate(m_aggregate, it->second.link, update, now);
    deliver(update, effects);
    takeDueUpdates(effects, now);
    return effects;
}

MemberEffects Member::tick(TimePoint now)
{
    MemberEffects effects;
    const bool wasPaused =
        m_tickedAt != TimePoint{} && now - m_tickedAt > m_config.uplink.pauseLimit;
    m_tickedAt = now;
    for (auto it = m_children.begin(); it != m_children.end();) {
        const auto following = std::next(it);
        // The silence of children is no evidence if this process itself was paused.
        if (wasPaused) {
            it->second.heardAt = now;
        } else if (now - it->second.heardAt > m_config.childTimeout) {
            effects.disconnectChildren.push_back(it->first);
            removeChild(it);
        }
        it = following;
    }
    apply(review(m_uplink, now), effects, now);
    if (m_lostLink != 0 && now - m_lostAt > m_config.lostParentLifetime)
        forgetLostParent();
    if (now - m_cleanedAt >= cleaningInterval) {
        m_cleanedAt = now;
        removeUnusedLevels(m_aggregate);
        removeLapsedFacts(m_aggregate, now);
    }
    takeDueUpdates(effects, now);
    return effects;
}

void Member::takeDueUpdates(MemberEffects &effects, TimePoint now)
{
    if (m_parentLink != 0 && isUpdateDue(m_aggregate, m_parentLink, now))
        effects.updates.push_back(
            {{m_uplink.parent, 0}, takeUpdate(m_aggregate, m_parentLink, now)});
    for (const auto &[child, it] : m_children) {
        if (!isUpdateDue(m_aggregate, it.link, now))
            continue;
        effects.updates.push_back({{{}, child}, takeUpdate(m_aggregate, it.link, now)});
        effects.updates.back().update.note = m_note;
    }
}

} // namespace kumquathaven::overlay
