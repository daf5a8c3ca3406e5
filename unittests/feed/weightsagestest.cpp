// Plays versions of weights that travel from control to entries through restarts, cuts and relays.

#include "kumquathaven/base/random.h"
#include "kumquathaven/feed/subscriber.h"
#include "kumquathaven/feed/weightsrecord.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::feed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration stepTime = milliseconds(50);
/// Members exchange what they know at this interval, and entries are sent it.
constexpr Duration exchangeInterval = milliseconds(250);
/// Ages may be off by the way from the leader over a member and a relay.
constexpr Duration tolerance = 4 * exchangeInterval;
constexpr std::size_t memberCount = 5;
constexpr std::size_t entryCount = 4;
const std::string model = "m";

std::unique_ptr<WeightsRecord> newRecord()
{
    return std::make_unique<WeightsRecord>(SubscriberTimes().recentWeights);
}

struct Member
{
    catalogue::State state;
    std::uint64_t position = 0;
    std::unique_ptr<WeightsRecord> weights = newRecord();
    TimePoint cutUntil{};
    TimePoint provenAt{};
    /// Since when the member has exchanged what it knows with the leader.
    TimePoint soundSince{};
};

struct Entry
{
    std::unique_ptr<Subscriber> subscriber;
    std::size_t source = 0;
    TimePoint frozenUntil{};
    TimePoint soundSince{};
};

/// Control and four entries. The entries 2 and 3 are fed by the entries 0 and 1.
class World
{
public:
    /// A version is set, and something of each kind fails, every \p stepsPerVersion steps on
    /// average.
    explicit World(std::uint64_t seed, std::uint64_t stepsPerVersion = 60)
        : m_random(seed)
        , m_stepsPerVersion(stepsPerVersion)
        , m_members(memberCount)
        , m_entries(entryCount)
    {
        for (std::size_t n = 0; n < entryCount; ++n)
            restartEntry(n);
        setVersion();
    }

    void advance(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end;) {
            m_now += stepTime;
            fail();
            if (m_random.below(m_stepsPerVersion) == 0)
                setVersion();
            for (Member &it : m_members)
                apply(it);
            if (m_now >= m_nextExchangeAt) {
                m_nextExchangeAt = m_now + exchangeInterval;
                exchange();
            }
            for (const Entry &it : m_entries)
                check(it);
        }
    }

    /// Ends all members at once: none of them knows any age then.
    void restartAllMembers()
    {
        for (Member &it : m_members)
            restart(it);
        m_areAgesLost = true;
    }

    void restartEntry(std::size_t n)
    {
        m_entries[n].subscriber =
            std::make_unique<Subscriber>(SubscriberTimes(), catalogue::Instance());
        m_entries[n].soundSince = {};
    }

    /// Returns the time since version \p version was replaced, as an entry knows it.
    Duration known(std::size_t n, std::uint64_t version)
    {
        const SubscriberEffects effects =
            m_entries[n].subscriber->applyProof(m_now += milliseconds(1));
        REQUIRE(effects.snapshot);
        return catalogue::timeSinceReplaced(*effects.snapshot->weightsTimes, model, version, m_now);
    }

    std::uint64_t newest() const { return m_log.size(); }
    bool hasFaults = true;

private:
    void setVersion()
    {
        m_log.push_back(m_now);
        // The leader accepts what it can prove, and answers the operator after it has applied it.
        m_members[m_leader].cutUntil = {};
        m_members[m_leader].provenAt = m_now;
        apply(m_members[m_leader]);
    }

    bool isCut(const Member &it) const { return m_now < it.cutUntil; }

    /// Applies what the member has not applied yet, which for one that was cut off is late.
    void apply(Member &it)
    {
        while (!isCut(it) && it.position < m_log.size()) {
            const std::uint64_t version = ++it.position;
            const catalogue::Change change{{}, {}, catalogue::SetWeightsVersion{model, version}};
            catalogue::apply(it.state, change);
            it.weights->apply(change, it.provenAt, m_now);
        }
    }

    /// Starts a member from its disk, which has the state and no ages.
    void restart(Member &it)
    {
        it.soundSince = {};
        it.provenAt = {};
        it.weights = newRecord();
        it.weights->restore(it.state.catalogue);
    }

    void teach(Member &to, const Member &from)
    {
        if (const auto ages = from.weights->recent(m_now))
            to.weights->learn(*ages, m_now);
    }

    void exchange()
    {
        Member &leader = m_members[m_leader];
        for (Member &it : m_members) {
            if (isCut(it)) {
                it.soundSince = {};
                continue;
            }
            teach(leader, it);
            teach(it, leader);
            it.provenAt = m_now;
            if (it.soundSince == TimePoint{})
                it.soundSince = m_now;
        }
        for (std::size_t n = 0; n < entryCount; ++n)
            feed(n);
    }

    void feed(std::size_t n)
    {
        Entry &entry = m_entries[n];
        const bool isRelayed = n >= entryCount / 2;
        Entry &relay = m_entries[n % (entryCount / 2)];
        const Member &member = m_members[entry.source];
        const TimePoint sourceSoundSince = isRelayed ? relay.soundSince : member.soundSince;
        const bool isCutOff = isRelayed ? m_now < relay.frozenUntil : isCut(member);
        if (m_now < entry.frozenUntil || isCutOff || sourceSoundSince == TimePoint{}) {
            entry.soundSince = {};
            return;
        }
        if (isRelayed) {
            entry.subscriber->receive(WeightsAges{relay.subscriber->recentWeights(m_now)}, m_now);
            entry.subscriber->receive(relay.subscriber->state(m_now), m_now);
        } else {
            if (const auto ages = member.weights->recent(m_now))
                entry.subscriber->receive(*ages, m_now);
            if (entry.subscriber->position() == 0 || m_random.below(2) == 0)
                entry.subscriber->receive(StateAt{member.position,
                                                  member.state.catalogue,
                                                  member.state.instances,
                                                  {},
                                                  Duration(0)},
                                          m_now);
            while (entry.subscriber->position() < member.position) {
                const std::uint64_t version = entry.subscriber->position() + 1;
                entry.subscriber->receive(
                    ChangeAt{version,
                             {{}, {}, catalogue::SetWeightsVersion{model, version}},
                             version,
                             0},
                    m_now);
            }
        }
        if (entry.soundSince == TimePoint{})
            entry.soundSince = m_now;
    }

    void fail()
    {
        if (!hasFaults)
            return;
        const bool isLong = m_random.below(4) == 0;
        const Duration time = milliseconds(500 + m_random.below(isLong ? 90'000 : 6'000));
        const std::size_t n = m_random.below(memberCount);
        const bool isFollower = n != m_leader;
        // Control has a majority, or no version is accepted.
        const auto cut = std::count_if(m_members.begin(), m_members.end(), [this](const auto &it) {
            return isCut(it);
        });
        if (isFollower && !isCut(m_members[n]) && cut < static_cast<std::ptrdiff_t>(memberCount / 2)
            && m_random.below(m_stepsPerVersion) == 0)
            m_members[n].cutUntil = m_now + time;
        if (isFollower && m_random.below(m_stepsPerVersion) == 0)
            restart(m_members[n]);
        // A member whose log is complete takes over.
        if (isFollower && m_random.below(m_stepsPerVersion) == 0
            && m_members[n].position == m_log.size())
            m_leader = n;
        Entry &entry = m_entries[m_random.below(entryCount)];
        if (m_random.below(m_stepsPerVersion) == 0)
            entry.source = m_random.below(memberCount);
        if (m_now >= entry.frozenUntil && m_random.below(m_stepsPerVersion) == 0)
            entry.frozenUntil = m_now + time;
        if (m_random.below(m_stepsPerVersion) == 0)
            restartEntry(m_random.below(entryCount));
    }

    void check(const Entry &entry)
    {
        if (entry.soundSince == TimePoint{} || m_now - entry.soundSince < exchangeInterval)
            return;
        const SubscriberEffects effects = entry.subscriber->applyProof(m_now);
        if (!effects.snapshot)
            return;
        const std::uint64_t held = entry.subscriber->position();
        for (std::uint64_t version = held > 8 ? held - 8 : 1; version < held; ++version) {
            const Duration actual = m_now - m_log[version];
            const Duration known = catalogue::timeSinceReplaced(*effects.snapshot->weightsTimes,
                                                                model, version, m_now);
            CAPTURE(version);
            CAPTURE(held);
            CHECK(toSeconds(known) >= toSeconds(actual - tolerance));
            // Later than that replaced weights are out of use for long.
            const bool isRecent = actual <= SubscriberTimes().recentWeights / 2;
            if (isRecent && !m_areAgesLost)
                CHECK(toSeconds(known) <= toSeconds(actual + tolerance));
        }
    }

    Random m_random;
    const std::uint64_t m_stepsPerVersion;
    TimePoint m_now{seconds(1000)};
    TimePoint m_nextExchangeAt{};
    /// When each version was set; the first one is version 1.
    std::vector<TimePoint> m_log;
    std::vector<Member> m_members;
    std::vector<Entry> m_entries;
    std::size_t m_leader = 0;
    bool m_areAgesLost = false;
};

} // namespace

// Guards against entries that use replaced weights for longer because they, their member, their
// relay or the leader started or came back after the weights were replaced.
TEST_CASE("the age of a weights version counts from its acceptance")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        // Versions that follow each other at once, and such that are old when a process is back.
        World world(seed, seed % 2 == 0 ? 60 : 1000);
        world.advance(seconds(seed % 2 == 0 ? 120 : 1000));
    }
}

// Guards against weights that count as replaced just now because nobody knows since when.
TEST_CASE("weights whose age nobody knows count as replaced long ago")
{
    World world(1);
    world.hasFaults = false;
    world.advance(seconds(5));
    const std::uint64_t version = world.newest();
    world.restartAllMembers();
    world.restartEntry(0);
    world.restartEntry(2);
    world.advance(seconds(1));
    REQUIRE(world.newest() == version);
    CHECK(world.known(0, version - 1) == Duration::max());
    CHECK(world.known(1, version - 1) < seconds(10));
}
