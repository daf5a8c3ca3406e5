// What an instance knows from all others and passes on along the tree.
//
// There are four kinds of content. A level is a number that each instance has under a key, of
// which only the sum over all instances matters. A count is a number of which only the increments
// are passed on. An event is a record that every instance receives once. A fact is a record that
// every instance holds until it lapses, also one that joins later. Over each link an instance
// sends the sum of what it knows from everywhere else, so that the size of a message depends on
// the number of keys and not on the number of instances.
//
// The functions are pure: messages and the current time are arguments.

#ifndef KUMQUATHAVEN_OVERLAY_AGGREGATE_H
#define KUMQUATHAVEN_OVERLAY_AGGREGATE_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kumquathaven::overlay {

/// Identifies a level, a count or an event.
using Key = std::uint64_t;

/// Identifies a link within one instance. A link that is opened again has a new number.
using LinkNumber = std::uint64_t;

/// A level and the time since it last went down somewhere.
struct LevelUpdate
{
    Key key = 0;
    std::int64_t value = 0;
    Duration sinceDecrease{0};
};

struct Increment
{
    Key key = 0;
    std::int64_t amount = 0;
};

struct Event
{
    /// A later event with the same key replaces an earlier one that was not sent yet.
    Key key = 0;
    std::string bytes;
    /// Time that the event has waited in instances since it was created.
    Duration age{0};
};

struct Fact
{
    Key key = 0;
    /// Of two facts with one key the one with the larger generation holds, and of one generation
    /// the one that lapses later.
    std::uint64_t generation = 0;
    std::string bytes;
    /// Time until the fact lapses.
    Duration lifetime{0};
};

/// One message over a link, in either direction.
struct Update
{
    /// Number of instances on the sender's side of the link.
    std::uint32_t instances = 0;
    std::vector<LevelUpdate> levels;
    std::vector<Increment> increments;
    std::vector<Event> events;
    std::vector<Fact> facts;
    /// What the sender says of itself, in a format of the caller's.
    std::string note;
};

/// Limits and intervals of the exchange.
struct AggregateConfig
{
    /// Minimum time between two messages over a link. What accrues meanwhile is sent in one.
    Duration minInterval = std::chrono::milliseconds(30);
    /// A link over which nothing was sent for this long gets a message without content.
    Duration keepAliveInterval = std::chrono::milliseconds(250);
    /// Changes of levels that are too small to matter are sent at this interval, or along with
    /// other content.
    Duration smallChangeInterval = std::chrono::milliseconds(400);
    /// Changes of less than this are small.
    std::int64_t minChange = 1'000;
    /// Bounds of one message and of a link's queue. When the queue is full the oldest event is
    /// dropped.
    std::size_t maxEventsSent = 256;
    std::size_t maxEventsQueued = 4'096;
    /// Maximum number of facts; further ones are not held.
    std::size_t maxFacts = 512;
    /// A fact is passed on again only if it lapses later by this much.
    Duration minFactExtension = std::chrono::seconds(5);
};

/// One side's contribution to a level.
struct Contribution
{
    LinkNumber link = 0;
    std::int64_t value = 0;
    TimePoint decreasedAt{};
};

/// All contributions to a level and their sum.
struct Level
{
    std::vector<Contribution> contributions;
    std::int64_t total = 0;
};

struct HeldFact
{
    std::uint64_t generation = 0;
    std::string bytes;
    TimePoint expiresAt{};
};

struct QueuedEvent
{
    Event event;
    TimePoint queuedAt{};
};

/// State of one link.
struct LinkState
{
    std::uint32_t instances = 0;
    /// Levels that changed since the last message, and the values that were sent last.
    std::unordered_set<Key> changed;
    std::unordered_map<Key, std::int64_t> sent;
    std::map<Key, std::int64_t> increments;
    std::deque<QueuedEvent> events;
    /// Position of the newest queued event of each key, counted from the first event ever queued.
    std::unordered_map<Key, std::uint64_t> eventPositions;
    std::uint64_t eventsRemoved = 0;
    std::uint64_t eventsDropped = 0;
    /// Keys of facts that are due to be sent.
    std::set<Key> changedFacts;
    TimePoint lastSentAt{};
    TimePoint smallChangesSentAt{};
    bool isSuspended = false;
    /// Whether something waits that must not wait for the interval of small changes.
    bool hasLargeChange = false;
};

/// The state of one instance. The instance's own contributions have the link number zero.
struct Aggregate
{
    AggregateConfig config;
    std::unordered_map<Key, Level> levels;
    std::map<LinkNumber, LinkState> links;
    /// Keys of levels of which the part of other instances changed since the caller last took them.
    std::unordered_set<Key> changedLevels;
    /// Whether the instance is between two parents, so that increments and events are kept for the
    /// next one.
    bool isBetweenParents = false;
    std::map<Key, HeldFact> facts;
    std::map<Key, std::int64_t> undeliveredIncrements;
    std::deque<QueuedEvent> undeliveredEvents;
};

/// Adds a link. Everything known from elsewhere is due to be sent over it.
void addLink(Aggregate &aggregate, LinkNumber link, bool isParent, TimePoint now);

/// Stops sending over the link to a lost parent. What was known over it stays, and what was queued
/// for it is kept for the next parent.
void suspendLink(Aggregate &aggregate, LinkNumber link);

/// Removes a link and what was known over it.
void removeLink(Aggregate &aggregate, LinkNumber link);

/// Sets the instance's own part of a level.
void setOwnLevel(Aggregate &aggregate, Key key, std::int64_t value, TimePoint now);

void addOwnIncrement(Aggregate &aggregate, Key key, std::int64_t amount);

void addOwnEvent(Aggregate &aggregate, const Event &event, TimePoint now);

/// Holds a fact and passes it on, unless a newer one is held. Returns whether it changed anything.
bool setFact(Aggregate &aggregate, const Fact &fact, TimePoint now);

/// Removes the facts that lapsed.
void removeLapsedFacts(Aggregate &aggregate, TimePoint now);

/// Applies a message of a link: updates levels and facts, and queues increments and events for the
/// other links. Messages of unknown links are ignored.
void applyUpdate(Aggregate &aggregate, LinkNumber link, const Update &update, TimePoint now);

/// Returns whether a message over a link is due.
bool isUpdateDue(const Aggregate &aggregate, LinkNumber link, TimePoint now);

/// Returns the next message over a link and records it as sent.
Update takeUpdate(Aggregate &aggregate, LinkNumber link, TimePoint now);

/// Returns the part of a level that other instances have; zero for an unknown key.
std::int64_t levelOfOthers(const Aggregate &aggregate, Key key);

/// Returns when the part of others last decreased, as far as known.
TimePoint lastDecreaseOfOthers(const Aggregate &aggregate, Key key);

/// Removes the levels that are zero everywhere.
void removeUnusedLevels(Aggregate &aggregate);

/// Returns the number of instances that are connected through the tree, including this one.
std::uint32_t connectedInstances(const Aggregate &aggregate);

} // namespace kumquathaven::overlay

#endif // KUMQUATHAVEN_OVERLAY_AGGREGATE_H
