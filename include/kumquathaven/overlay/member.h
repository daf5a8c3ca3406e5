// One instance's part in the tree as a state machine without threads, sockets or clocks: its
// uplink, its children, and what is exchanged with them.

#ifndef KUMQUATHAVEN_OVERLAY_MEMBER_H
#define KUMQUATHAVEN_OVERLAY_MEMBER_H

#include "kumquathaven/overlay/aggregate.h"
#include "kumquathaven/overlay/tree.h"
#include "kumquathaven/overlay/uplink.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace kumquathaven::overlay {

/// Identifies the link of a child, which the child has opened.
using ChildId = std::uint64_t;

/// The other end of a link: the instance that this one connects to as its parent or as a candidate,
/// or a child.
struct LinkEnd
{
    /// Empty for a child.
    std::string uplink;
    ChildId child = 0;
};

struct OutgoingUpdate
{
    LinkEnd to;
    Update update;
};

/// What a member wants done, in the order of the fields.
struct MemberEffects
{
    std::vector<std::string> disconnect;
    std::vector<ChildId> disconnectChildren;
    std::vector<std::string> connect;
    std::vector<OutgoingUpdate> updates;
    /// What other instances have sent, for this one.
    std::vector<Event> events;
    std::vector<Increment> increments;
    std::vector<Fact> facts;
};

/// Bounds on the children of a member.
struct MemberConfig
{
    AggregateConfig aggregate;
    UplinkTimes uplink;
    /// Children beyond this are refused. It leaves room for those of several lost instances.
    std::size_t maxChildren = 8 * fanOut;
    /// A child from which nothing was received for this long is dropped.
    Duration childTimeout = std::chrono::milliseconds(1500);
    /// What was known over a lost parent is used for this long, or until another parent responds.
    /// Without it an instance would take all others for idle meanwhile.
    Duration lostParentLifetime = std::chrono::seconds(2);
};

/// A member of the tree.
class Member
{
public:
    explicit Member(TreeNode self, MemberConfig config = {});

    /// Sets the instances that are in service.
    MemberEffects setInstances(const std::vector<TreeNode> &nodes, TimePoint now);

    /// Handles a request of an instance to become a child, over a link that it opened.
    MemberEffects join(ChildId child, const TreeNode &node, TimePoint now);

    /// Handle the closing of a link.
    MemberEffects closed(const std::string &uplink, TimePoint now);
    void childClosed(ChildId child);

    /// Handle an update.
    MemberEffects receive(const std::string &uplink, const Update &update, TimePoint now);
    MemberEffects receiveFromChild(ChildId child, const Update &update, TimePoint now);

    /// Checks timeouts and returns the updates that are due. To be called every few tens of
    /// milliseconds.
    MemberEffects tick(TimePoint now);

    void setLevel(Key key, std::int64_t value, TimePoint now)
    {
        setOwnLevel(m_aggregate, key, value, now);
    }
    void addIncrement(Key key, std::int64_t amount) { addOwnIncrement(m_aggregate, key, amount); }
    void addEvent(const Event &event, TimePoint now) { addOwnEvent(m_aggregate, event, now); }
    void setFact(const Fact &fact, TimePoint now) { overlay::setFact(m_aggregate, fact, now); }
    /// Sets the note that is sent along with every update to children.
    void setNote(std::string note) { m_note = std::move(note); }

    /// Returns the keys of levels of which the part of others changed since the last call.
    std::unordered_set<Key> takeChangedLevels()
    {
        return std::exchange(m_aggregate.changedLevels, {});
    }

    const Aggregate &aggregate() const { return m_aggregate; }
    bool isRoot() const { return overlay::isRoot(m_uplink); }
    /// Returns the name of the parent; empty if there is none at present.
    const std::string &parent() const { return m_uplink.parent; }
    /// Returns the note in the parent's last update, and when it was received.
    const std::string &parentNote() const { return m_parentNote; }
    TimePoint heardFromParentAt() const { return m_uplink.heardAt; }
    std::size_t childCount() const { return m_children.size(); }

private:
    struct Child
    {
        LinkNumber link = 0;
        std::string name;
        TimePoint heardAt{};
    };

    void apply(const UplinkStep &step, MemberEffects &effects, TimePoint now);
    void deliver(const Update &update, MemberEffects &effects) const;
    void takeDueUpdates(MemberEffects &effects, TimePoint now);
    void updateBetweenParents();
    void forgetLostParent();
    void removeChild(std::map<ChildId, Child>::iterator child);

    const TreeNode m_self;
    const MemberConfig m_config;
    Uplink m_uplink;
    Aggregate m_aggregate;
    /// Number of the link to the parent; zero while there is none.
    LinkNumber m_parentLink = 0;
    /// Number of the link to the parent that was lost last, while it is still used.
    LinkNumber m_lostLink = 0;
    TimePoint m_lostAt{};
    LinkNumber m_lastLink = 0;
    std::map<ChildId, Child> m_children;
    std::string m_note;
    std::string m_parentNote;
    TimePoint m_tickedAt{};
    TimePoint m_cleanedAt{};
};

} // namespace kumquathaven::overlay

#endif // KUMQUATHAVEN_OVERLAY_MEMBER_H
