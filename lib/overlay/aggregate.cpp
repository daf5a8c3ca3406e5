#include "kumquathaven/overlay/aggregate.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace kumquathaven::overlay {

namespace {

constexpr LinkNumber ownLink = 0;
/// Decreases that are older than this say nothing about the present.
constexpr Duration maxSinceDecrease = std::chrono::seconds(60);

Contribution *findContribution(Level &level, LinkNumber link)
{
    const auto it =
        std::find_if(level.contributions.begin(), level.contributions.end(), [&](const auto &c) {
            return c.link == link;
        });
    return it == level.contributions.end() ? nullptr : &*it;
}

std::int64_t valueOf(const Level &level, LinkNumber link)
{
    for (const Contribution &it : level.contributions) {
        if (it.link == link)
            return it.value;
    }
    return 0;
}

/// Returns when the level last decreased on any side except a link's.
TimePoint decreasedElsewhere(const Level &level, LinkNumber link)
{
    TimePoint latest{};
    for (const Contribution &it : level.contributions) {
        if (it.link != link)
            latest = std::max(latest, it.decreasedAt);
    }
    return latest;
}

/// Marks a level as changed for all links but one, and for this instance unless the change is its
/// own.
void markChanged(Aggregate &aggregate, Key key, const Level &level, LinkNumber except)
{
    if (except != ownLink)
        aggregate.changedLevels.insert(key);
    for (auto &[number, link] : aggregate.links) {
        if (number == except || link.isSuspended)
            continue;
        link.changed.insert(key);
        const std::int64_t value = level.total - valueOf(level, number);
        const auto sent = link.sent.find(key);
        const std::int64_t before = sent == link.sent.end() ? 0 : sent->second;
        const bool isLarge =
            std::abs(value - before) >= aggregate.config.minChange || (value == 0 && before != 0);
        link.hasLargeChange = link.hasLargeChange || isLarge;
    }
}

void setContribution(Aggregate &aggregate, Key key, LinkNumber link, std::int64_t value,
                     std::optional<TimePoint> decreasedAt)
{
    Level &level = aggregate.levels[key];
    Contribution *own = findContribution(level, link);
    if (own == nullptr) {
        if (value == 0)
            return;
        own = &level.contributions.emplace_back(Contribution{link, 0, {}});
    }
    if (decreasedAt)
        own->decreasedAt = std::max(own->decreasedAt, *decreasedAt);
    if (own->value == value)
        return;
    level.total += value - own->value;
    own->value = value;
    markChanged(aggregate, key, level, link);
}

void queueEvent(const AggregateConfig &config, LinkState &link, QueuedEvent queued)
{
    const auto [it, isNew] = link.eventPositions.try_emplace(queued.event.key);
    if (!isNew) {
        // The event keeps the place of the one that it replaces, which waited longer.
        link.events[it->second - link.eventsRemoved].event = std::move(queued.event);
        return;
    }
    it->second = link.eventsRemoved + link.events.size();
    link.events.push_back(std::move(queued));
    link.hasLargeChange = true;
    if (link.events.size() <= config.maxEventsQueued)
        return;
    link.eventPositions.erase(link.events.front().event.key);
    link.events.pop_front();
    ++link.eventsRemoved;
    ++link.eventsDropped;
}

/// Holds a fact and queues it for all links but the one that it came over.
bool holdFact(Aggregate &aggregate, const Fact &fact, LinkNumber except, TimePoint now)
{
    const auto known = aggregate.facts.find(fact.key);
    const TimePoint expiresAt = now + fact.lifetime;
    if (known == aggregate.facts.end()) {
        if (aggregate.facts.size() >= aggregate.config.maxFacts || expiresAt <= now)
            return false;
    } else {
        const HeldFact &held = known->second;
        const bool isNewer = fact.generation > held.generation
            || (fact.generation == held.generation
                && expiresAt >= held.expiresAt + aggregate.config.minFactExtension);
        if (!isNewer)
            return false;
    }
    aggregate.facts[fact.key] = {fact.generation, fact.bytes, expiresAt};
    for (auto &[number, link] : aggregate.links) {
        if (number == except || link.isSuspended)
            continue;
        link.changedFacts.insert(fact.key);
        link.hasLargeChange = true;
    }
    return true;
}

std::vector<Fact> takeFacts(const Aggregate &aggregate, LinkState &link, TimePoint now)
{
    std::vector<Fact> facts;
    for (const Key key : std::exchange(link.changedFacts, {})) {
        const auto it = aggregate.facts.find(key);
        if (it != aggregate.facts.end() && it->second.expiresAt > now)
            facts.push_back(
                {key, it->second.generation, it->second.bytes, it->second.expiresAt - now});
    }
    return facts;
}

/// Keeps an event for the next parent if there is none at present.
void keepForParent(Aggregate &aggregate, const Event &event, TimePoint now)
{
    if (!aggregate.isBetweenParents)
        return;
    aggregate.undeliveredEvents.push_back({event, now});
    if (aggregate.undeliveredEvents.size() > aggregate.config.maxEventsQueued)
        aggregate.undeliveredEvents.pop_front();
}

std::vector<Event> takeEvents(const AggregateConfig &config, LinkState &link, TimePoint now)
{
    std::vector<Event> events;
    while (!link.events.empty() && events.size() < config.maxEventsSent) {
        QueuedEvent queued = std::move(link.events.front());
        link.events.pop_front();
        ++link.eventsRemoved;
        link.eventPositions.erase(queued.event.key);
        queued.event.age += now - queued.queuedAt;
        events.push_back(std::move(queued.event));
    }
    return events;
}

std::vector<LevelUpdate> takeLevels(const Aggregate &aggregate, LinkNumber number, LinkState &link,
                                    TimePoint now)
{
    std::vector<LevelUpdate> levels;
    const bool sendsSmall = now - link.smallChangesSentAt >= aggregate.config.smallChangeInterval;
    std::unordered_set<Key> remaining;
    for (const Key key : link.changed) {
        const auto known = aggregate.levels.find(key);
        if (known == aggregate.levels.end())
            continue;
        const Level &level = known->second;
        const std::int64_t value = level.total - valueOf(level, number);
        const auto sent = link.sent.find(key);
        const std::int64_t before = sent == link.sent.end() ? 0 : sent->second;
        if (value == before)
            continue;
        const bool isLarge = std::abs(value - before) >= aggregate.config.minChange || value == 0;
        if (!isLarge && !sendsSmall) {
            remaining.insert(key);
            continue;
        }
        const Duration sinceDecrease =
            std::min(maxSinceDecrease, now - decreasedElsewhere(level, number));
        levels.push_back({key, value, sinceDecrease});
        if (value == 0)
            link.sent.erase(key);
        else
            link.sent[key] = value;
    }
    link.changed = std::move(remaining);
    if (sendsSmall)
        link.smallChangesSentAt = now;
    return levels;
}

std::uint32_t instancesElsewhere(const Aggregate &aggregate, LinkNumber except)
{
    std::uint32_t sum = 1;
    for (const auto &[number, link] : aggregate.links) {
        if (number != except)
            sum += link.instances;
    }
    return sum;
}

} // namespace

void addLink(Aggregate &aggregate, LinkNumber link, bool isParent, TimePoint now)
{
    LinkState &state = aggregate.links[link];
    for (const auto &[key, level] : aggregate.levels) {
        if (level.total != 0)
            state.changed.insert(key);
    }
    for (const auto &it : aggregate.facts)
        state.changedFacts.insert(it.first);
    state.hasLargeChange = true;
    state.smallChangesSentAt = now - aggregate.config.smallChangeInterval;
    if (!isParent)
        return;
    state.increments = std::exchange(aggregate.undeliveredIncrements, {});
    for (QueuedEvent &it : std::exchange(aggregate.undeliveredEvents, {}))
        queueEvent(aggregate.config, state, std::move(it));
}

void suspendLink(Aggregate &aggregate, LinkNumber link)
{
    const auto it = aggregate.links.find(link);
    if (it == aggregate.links.end())
        return;
    LinkState &state = it->second;
    for (const auto &[key, amount] : std::exchange(state.increments, {}))
        aggregate.undeliveredIncrements[key] += amount;
    aggregate.undeliveredEvents = std::exchange(state.events, {});
    state.eventPositions.clear();
    state.changed.clear();
    state.sent.clear();
    state.changedFacts.clear();
    state.isSuspended = true;
}

void removeLink(Aggregate &aggregate, LinkNumber link)
{
    if (aggregate.links.erase(link) == 0)
        return;
    for (auto &[key, level] : aggregate.levels) {
        const std::int64_t value = valueOf(level, link);
        level.contributions.erase(std::remove_if(level.contributions.begin(),
                                                 level.contributions.end(),
                                                 [&](const Contribution &c) {
                                                     return c.link == link;
                                                 }),
                                  level.contributions.end());
        level.total -= value;
        if (value != 0)
            markChanged(aggregate, key, level, link);
    }
}

void setOwnLevel(Aggregate &aggregate, Key key, std::int64_t value, TimePoint now)
{
    const auto it = aggregate.levels.find(key);
    const std::int64_t before = it == aggregate.levels.end() ? 0 : valueOf(it->second, ownLink);
    if (value == before)
        return;
    setContribution(aggregate, key, ownLink, value,
                    value < before ? std::make_optional(now) : std::nullopt);
}

void addOwnIncrement(Aggregate &aggregate, Key key, std::int64_t amount)
{
    if (amount == 0)
        return;
    if (aggregate.isBetweenParents)
        aggregate.undeliveredIncrements[key] += amount;
    for (auto &[number, link] : aggregate.links) {
        if (link.isSuspended)
            continue;
        link.increments[key] += amount;
        link.hasLargeChange = true;
    }
}

void addOwnEvent(Aggregate &aggregate, const Event &event, TimePoint now)
{
    keepForParent(aggregate, event, now);
    for (auto &[number, link] : aggregate.links) {
        if (!link.isSuspended)
            queueEvent(aggregate.config, link, {event, now});
    }
}

bool setFact(Aggregate &aggregate, const Fact &fact, TimePoint now)
{
    return holdFact(aggregate, fact, ownLink, now);
}

void removeLapsedFacts(Aggregate &aggregate, TimePoint now)
{
    for (auto it = aggregate.facts.begin(); it != aggregate.facts.end();)
        it = it->second.expiresAt <= now ? aggregate.facts.erase(it) : std::next(it);
}

void applyUpdate(Aggregate &aggregate, LinkNumber link, const Update &update, TimePoint now)
{
    const auto from = aggregate.links.find(link);
    if (from == aggregate.links.end())
        return;
    from->second.instances = update.instances;
    for (const Event &it : update.events)
        keepForParent(aggregate, it, now);
    for (const Increment &it : update.increments) {
        if (aggregate.isBetweenParents)
            aggregate.undeliveredIncrements[it.key] += it.amount;
    }
    for (const Fact &it : update.facts)
        holdFact(aggregate, it, link, now);
    for (const LevelUpdate &it : update.levels)
        setContribution(aggregate, it.key, link, it.value, now - it.sinceDecrease);
    for (auto &[number, other] : aggregate.links) {
        if (number == link || other.isSuspended)
            continue;
        for (const Increment &it : update.increments)
            other.increments[it.key] += it.amount;
        other.hasLargeChange = other.hasLargeChange || !update.increments.empty();
        for (const Event &it : update.events)
            queueEvent(aggregate.config, other, {it, now});
    }
}

bool isUpdateDue(const Aggregate &aggregate, LinkNumber link, TimePoint now)
{
    const auto it = aggregate.links.find(link);
    if (it == aggregate.links.end())
        return false;
    const LinkState &state = it->second;
    if (state.isSuspended)
        return false;
    const Duration sinceSent = now - state.lastSentAt;
    if (sinceSent < aggregate.config.minInterval)
        return false;
    const bool hasSmallChanges = !state.changed.empty()
        && now - state.smallChangesSentAt >= aggregate.config.smallChangeInterval;
    return state.hasLargeChange || hasSmallChanges
        || sinceSent >= aggregate.config.keepAliveInterval;
}

Update takeUpdate(Aggregate &aggregate, LinkNumber link, TimePoint now)
{
    LinkState &state = aggregate.links.at(link);
    Update update;
    update.instances = instancesElsewhere(aggregate, link);
    update.levels = takeLevels(aggregate, link, state, now);
    for (const auto &[key, amount] : state.increments) {
        if (amount != 0)
            update.increments.push_back({key, amount});
    }
    state.increments.clear();
    update.events = takeEvents(aggregate.config, state, now);
    update.facts = takeFacts(aggregate, state, now);
    state.lastSentAt = now;
    state.hasLargeChange = !state.events.empty();
    return update;
}

std::int64_t levelOfOthers(const Aggregate &aggregate, Key key)
{
    const auto it = aggregate.levels.find(key);
    return it == aggregate.levels.end() ? 0 : it->second.total - valueOf(it->second, ownLink);
}

TimePoint lastDecreaseOfOthers(const Aggregate &aggregate, Key key)
{
    const auto it = aggregate.levels.find(key);
    return it == aggregate.levels.end() ? TimePoint{} : decreasedElsewhere(it->second, ownLink);
}

void removeUnusedLevels(Aggregate &aggregate)
{
    for (auto it = aggregate.levels.begin(); it != aggregate.levels.end();) {
        const auto &contributions = it->second.contributions;
        const bool isZero =
            std::all_of(contributions.begin(), contributions.end(), [](const Contribution &c) {
                return c.value == 0;
            });
        const bool isSent =
            std::any_of(aggregate.links.begin(), aggregate.links.end(), [&](const auto &link) {
                return link.second.sent.count(it->first) > 0;
            });
        it = isZero && !isSent ? aggregate.levels.erase(it) : std::next(it);
    }
}

std::uint32_t connectedInstances(const Aggregate &aggregate)
{
    return instancesElsewhere(aggregate, ownLink);
}

} // namespace kumquathaven::overlay
