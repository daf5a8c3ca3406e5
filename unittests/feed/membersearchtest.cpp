// Plays an entry instance before control members that are replaced, killed, frozen and cut off.

#include "kumquathaven/base/random.h"
#include "kumquathaven/feed/feedtimes.h"
#include "kumquathaven/feed/follower.h"
#include "kumquathaven/feed/publisher.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::feed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration stepTime = milliseconds(10);
constexpr std::uint64_t histories = 30;

/// Sound; answers without newer proofs; connects hang and open links are silent; connects are
/// refused and open links close.
enum class Health { Sound, CutOff, Silent, Refusing };

struct Member
{
    Health health = Health::Sound;
    catalogue::State state;
    std::uint64_t position = 0;
    TimePoint provenAt{};
    Publisher publisher;
};

using Pipe = std::deque<std::pair<TimePoint, Message>>;

struct Link
{
    SubscriberId id = 0;
    TimePoint opensAt{};
    bool open = false;
    Pipe up;
    Pipe down;
};

settings::Settings platformSettings()
{
    settings::Settings settings;
    settings.platform.emplace();
    settings.platform->inForceTime = seconds(2);
    return settings;
}

/// One entry and its control. The group accepts changes as long as a member is sound, and lists its
/// members in its state.
class World
{
public:
    World(std::uint64_t seed, std::size_t memberCount)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < memberCount; ++n)
            m_listed.push_back(addMember());
        m_seeds = m_listed;
        catalogue::Instance self;
        self.name = "entry-" + std::to_string(seed);
        m_search.instance = self.name;
        m_search.times = searchTimes(m_settings);
        setMembers(m_search, {}, m_seeds);
        m_follower = std::make_unique<Follower>(settings::FeedRelays{64, 0}, self, seed,
                                                subscriberTimes(m_settings));
        recordLinks();
        perform(beginSearch(m_search, m_now));
    }

    /// Replaces the oldest member: its address leads nowhere from now on.
    void replaceOldest()
    {
        setHealth(m_listed.front(), m_random.below(2) == 0 ? Health::Silent : Health::Refusing);
        m_listed.erase(m_listed.begin());
        m_listed.push_back(addMember());
        recordLinks();
    }

    void setHealth(const std::string &member, Health health) { m_members[member].health = health; }
    const std::string &followed() const { return m_search.followed; }
    const std::vector<std::string> &listed() const { return m_listed; }
    std::uint64_t changesOfMember() const { return m_changesOfMember; }
    std::size_t mostLinks() const { return m_mostLinks; }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += stepTime;
            if (m_now >= m_nextChangeAt) {
                m_nextChangeAt = m_now + milliseconds(50 + m_random.below(250));
                accept(customerChange());
            }
            update();
            for (const std::string &it : addresses())
                move(it);
            act(m_follower->tick(m_now));
            perform(reviewSearch(m_search, m_now));
            check();
        }
    }

private:
    std::string addMember()
    {
        std::string address = "10.0.0." + std::to_string(1 + m_members.size()) + ":7540";
        m_members[address].state = m_state;
        m_members[address].position = m_position;
        return address;
    }

    catalogue::Change customerChange()
    {
        catalogue::Customer customer;
        customer.head = {"c", "t", {}, {}};
        customer.weight = static_cast<std::uint32_t>(1 + m_position % 1000);
        catalogue::PutEntries put;
        put.entries.customers["c"] = customer;
        return {{}, {}, put};
    }

    void recordLinks() { accept({{}, {}, catalogue::RecordControlLinks{m_listed}}); }

    void accept(const catalogue::Change &change)
    {
        const catalogue::Answer answer = catalogue::apply(m_state, change);
        REQUIRE(answer.accepted);
        m_log.push_back({++m_position, change, answer.revision, answer.epoch});
        m_acceptedAt[m_position] = m_now;
    }

    /// Lets sound members apply the log and renew their proofs.
    void update()
    {
        const bool isProofDue = m_now >= m_nextProofAt;
        if (isProofDue)
            m_nextProofAt = m_now + milliseconds(250);
        for (auto &[address, member] : m_members) {
            if (member.health != Health::Sound)
                continue;
            if (isProofDue)
                member.provenAt = m_now;
            for (; member.position < m_position; ++member.position) {
                const ChangeAt &change = m_log[member.position];
                catalogue::apply(member.state, change.change);
                send(address, member.publisher.publish(change));
            }
        }
    }

    void send(const std::string &address, const std::vector<Delivery> &deliveries)
    {
        for (const Delivery &delivery : deliveries) {
            orElse(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(message, fromFrame(delivery.frame, address));
                    for (const SubscriberId it : delivery.subscribers) {
                        if (m_links.count(address) > 0 && m_links[address].id == it)
                            push(m_links[address].down, message);
                    }
                    return {};
                },
                [](const Error &error) {
                    FAIL(describe(error));
                });
        }
    }

    Duration delay() { return milliseconds(1 + m_random.below(10)); }

    void push(Pipe &pipe, const Message &message)
    {
        const TimePoint at = m_now + delay();
        pipe.emplace_back(pipe.empty() ? at : std::max(at, pipe.back().first), message);
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> found;
        for (const auto &it : m_links)
            found.push_back(it.first);
        return found;
    }

    /// Returns the link to a member whose end there works.
    Link *working(const std::string &address)
    {
        const auto it = m_links.find(address);
        const Health health = m_members[address].health;
        const bool works = health == Health::Sound || health == Health::CutOff;
        return it == m_links.end() || !works ? nullptr : &it->second;
    }

    void move(const std::string &address)
    {
        if (m_members[address].health == Health::Refusing && m_links[address].open)
            close(address);
        Link *link = working(address);
        if (link != nullptr && !link->open && m_now >= link->opensAt) {
            link->open = true;
            perform(recordOpened(m_search, address, m_now));
        }
        while ((link = working(address)) != nullptr && !link->up.empty()
               && link->up.front().first <= m_now) {
            const Message message = link->up.front().second;
            link->up.pop_front();
            answer(address, message);
        }
        while ((link = working(address)) != nullptr && !link->down.empty()
               && link->down.front().first <= m_now) {
            const Message message = link->down.front().second;
            link->down.pop_front();
            receive(address, message);
        }
    }

    void close(const std::string &address)
    {
        m_members[address].publisher.remove(m_links[address].id);
        m_links[address] = {++m_lastId, m_now + 4 * delay(), false, {}, {}};
        if (address == m_control) {
            m_control.clear();
            act(m_follower->closed(Uplink::Control, m_now));
        }
        perform(recordClosed(m_search, address, m_now));
    }

    void answer(const std::string &address, const Message &message)
    {
        Member &member = m_members[address];
        if (const auto *subscribe = std::get_if<Subscribe>(&message)) {
            send(address, member.publisher.subscribe(m_links[address].id, *subscribe, [&] {
                return toFrame(StateAt{member.position,
                                       member.state.catalogue,
                                       member.state.instances,
                                       {},
                                       Duration(0)});
            }));
        } else if (const auto *request = std::get_if<ProofRequest>(&message)) {
            if (member.provenAt != TimePoint{})
                push(m_links[address].down,
                     Proof{request->number, member.position, m_now - member.provenAt});
        }
    }

    void receive(const std::string &address, const Message &message)
    {
        if (address == m_control)
            act(m_follower->receive(Uplink::Control, message, m_now));
        if (const auto *proof = std::get_if<Proof>(&message))
            perform(recordProof(m_search, address, proof->number, proof->age, m_now));
    }

    void act(const FollowerEffects &effects)
    {
        if (effects.snapshot && !effects.snapshot->catalogue->controlLinks.empty())
            setMembers(m_search, effects.snapshot->catalogue->controlLinks, m_seeds);
        for (const FollowerEffects::OutgoingMessage &it : effects.messages) {
            if (m_links.count(m_control) > 0 && m_links[m_control].open)
                push(m_links[m_control].up, it.message);
        }
        if (effects.changeMember)
            perform(beginSearch(m_search, m_now));
    }

    void perform(const SearchStep &step)
    {
        for (const std::string &it : step.disconnect) {
            m_members[it].publisher.remove(m_links[it].id);
            m_links.erase(it);
        }
        for (const std::string &it : step.connect)
            m_links[it] = {++m_lastId, m_now + 4 * delay(), false, {}, {}};
        m_mostLinks = std::max(m_mostLinks, m_links.size());
        for (const Probe &it : step.probes)
            push(m_links[it.member].up, ProofRequest{it.number, m_search.instance, 0});
        if (step.follow.empty())
            return;
        ++m_changesOfMember;
        m_control = step.follow;
        act(m_follower->opened(Uplink::Control, step.follow, m_now));
    }

    /// Checks that each change is held within inForceTime after it was accepted.
    void check()
    {
        const auto next = m_acceptedAt.upper_bound(m_follower->position());
        if (next == m_acceptedAt.end())
            return;
        const Duration late = m_now - next->second;
        if (late <= m_settings.platform->inForceTime || m_isLate)
            return;
        m_isLate = true;
        CAPTURE(m_search.instance);
        CAPTURE(toSeconds(m_now.time_since_epoch()));
        CHECK(toSeconds(late) <= toSeconds(m_settings.platform->inForceTime));
    }

    Random m_random;
    const settings::Settings m_settings = platformSettings();
    TimePoint m_now{seconds(100)};
    TimePoint m_nextChangeAt{};
    TimePoint m_nextProofAt{};
    catalogue::State m_state;
    std::uint64_t m_position = 0;
    std::vector<ChangeAt> m_log;
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    std::vector<std::string> m_listed;
    std::vector<std::string> m_seeds;
    std::map<std::string, Member> m_members;
    std::map<std::string, Link> m_links;
    SubscriberId m_lastId = 0;
    std::string m_control;
    MemberSearch m_search;
    std::unique_ptr<Follower> m_follower;
    std::uint64_t m_changesOfMember = 0;
    std::size_t m_mostLinks = 0;
    bool m_isLate = false;
};

std::string nameOf(Health health)
{
    constexpr const char *names[] = {"sound", "cut off", "silent", "refusing"};
    return names[static_cast<std::size_t>(health)];
}

} // namespace

// Guards against entries that try the addresses of replaced members one after the other and stay on
// an old configuration meanwhile.
TEST_CASE("a change is held in time whatever became of the members that an entry knew")
{
    for (const Health health : {Health::CutOff, Health::Silent, Health::Refusing}) {
        for (std::uint64_t seed = 1; seed <= histories; ++seed) {
            CAPTURE(nameOf(health));
            World world(seed, 3 + 2 * (seed % 3));
            world.advance(seconds(3));
            for (std::size_t n = 0; n < 1 + seed % 7; ++n) {
                world.replaceOldest();
                world.advance(seconds(4));
            }
            // The followed member fails for a time, again and again.
            for (int n = 0; n < 4; ++n) {
                const std::string followed = world.followed();
                world.setHealth(followed, health);
                world.advance(seconds(5));
                CHECK(world.followed() != followed);
                world.setHealth(followed, Health::Sound);
                world.advance(seconds(3));
            }
        }
    }
}

// Guards against searches that take longer for each member that fails at the same moment.
TEST_CASE("one sound member is found in time among many that fail at once")
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        CAPTURE(seed);
        World world(seed, 5);
        world.advance(seconds(3));
        for (std::size_t n = 0; n < 3; ++n) {
            world.replaceOldest();
            world.advance(seconds(3));
        }
        const std::vector<std::string> listed = world.listed();
        const std::string &spared = listed[seed % listed.size()];
        const std::vector<Health> kinds{Health::CutOff, Health::Silent, Health::Refusing};
        for (std::size_t n = 0; n < listed.size(); ++n) {
            if (listed[n] != spared)
                world.setHealth(listed[n], kinds[(seed / 5 + n) % kinds.size()]);
        }
        world.advance(seconds(4));
        CHECK(world.followed() == spared);
        CHECK(world.mostLinks() <= listed.size() + 5);
    }
}

// Guards against entries that leave a sound member.
TEST_CASE("a sound member is followed on while others fail")
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        World world(seed, 5);
        world.advance(seconds(3));
        const std::uint64_t before = world.changesOfMember();
        for (const std::string &it : world.listed()) {
            if (it != world.followed())
                world.setHealth(it, Health::CutOff);
        }
        world.advance(seconds(10));
        CHECK(world.changesOfMember() == before);
    }
}
