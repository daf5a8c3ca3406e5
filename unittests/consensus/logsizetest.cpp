// Generated histories of a group whose changes have very different sizes: what its members keep in
// memory, on disk and in flight depends on the size of the state and not on the number of changes.

#include "bench.h"
#include "common/foreachseed.h"
#include "kumquathaven/base/random.h"
#include "kumquathaven/consensus/group.h"
#include "memoryfiles.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

using kumquathaven::testing::forEachSeed;

namespace {

constexpr std::uint64_t seeds = 40;
constexpr int steps = 1500;
constexpr std::size_t memberCount = 3;
constexpr Duration step = std::chrono::milliseconds(10);
constexpr std::size_t minChangeBytes = 200;
/// Bytes that a record and a segment add to the entries in them.
constexpr std::size_t recordBytes = 100;

GroupSettings smallBounds(std::size_t n)
{
    GroupSettings settings;
    settings.instance = memberId(n).instance;
    settings.seed = n;
    settings.log.segmentBytes = 2000;
    settings.replica.heartbeat = std::chrono::milliseconds(20);
    settings.replica.electionTimeout = std::chrono::milliseconds(100);
    settings.replica.maxAppendBytes = 600;
    settings.replica.maxInflightBytes = 1500;
    settings.replica.maxProposalBytes = 1000;
    settings.replica.maxUncommittedBytes = 3000;
    settings.replica.snapshotChunkBytes = 300;
    settings.replica.snapshotBytes = 4000;
    settings.replica.trailingBytes = 1500;
    settings.replica.maxCommittedBytes = 2000;
    return settings;
}

/// Bytes of entries that a member may have in memory: those before the snapshot, those since, one
/// part that is applied at a time, and those that are not committed. Each bound can be passed by
/// one change.
std::size_t maxEntryBytes(const ReplicaSettings &it)
{
    return it.trailingBytes + it.snapshotBytes + it.maxCommittedBytes + it.maxUncommittedBytes
        + 3 * it.maxProposalBytes;
}

/// Bytes that a member may have on disk: the entries with their records, a segment that is not
/// full, and a snapshot that is being replaced.
std::size_t maxDiskBytes(const GroupSettings &it)
{
    const std::size_t entries = maxEntryBytes(it.replica);
    return entries + entries / minChangeBytes * recordBytes + it.log.segmentBytes
        + 2 * (it.replica.maxProposalBytes + recordBytes);
}

/// A member on a disk in memory. Its state is the number of changes and the last change.
class Member
{
public:
    Member(std::size_t n, GroupSettings settings)
        : m_settings(std::move(settings))
        , m_identity(memberId(n).identity)
    { }

    void open(TimePoint now)
    {
        m_group.reset();
        m_folder.reset();
        changes = 0;
        state.clear();
        REQUIRE(codeOf([&]() -> Result<void> {
                    BOOST_LEAF_AUTO(
                        folder, storage::DataFolder::open(files.operations(), "/data", m_identity));
                    m_folder = std::make_unique<storage::DataFolder>(std::move(folder));
                    BOOST_LEAF_AUTO(group, Group::open(*m_folder, m_settings, now));
                    m_group = std::make_unique<Group>(std::move(group));
                    return {};
                })
                == std::nullopt);
    }

    /// Puts the first state of a group in place of what the member holds.
    void install(const Snapshot &snapshot, TimePoint now)
    {
        m_group.reset();
        REQUIRE(codeOf([&]() -> Result<void> {
                    storage::Contents contents;
                    BOOST_LEAF_AUTO(log, storage::Log::open(*m_folder, 0, {}, contents));
                    return log.installSnapshot(snapshot);
                })
                == std::nullopt);
        open(now);
    }

    void restart(Random &random, TimePoint now)
    {
        m_group.reset();
        m_folder.reset();
        files.cutPower(storage::MemoryFiles::Unsynced::Lost, random);
        open(now);
    }

    void become(const GroupSettings &settings) { m_settings = settings; }

    /// Makes all effects durable, applies what is committed, and returns the messages.
    std::vector<Message> advance(TimePoint now)
    {
        Output output;
        REQUIRE(codeOf([&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(output, m_group->advance(now));
                    return {};
                })
                == std::nullopt);
        if (output.restore) {
            const std::string &saved = *output.restore->state;
            changes = saved.empty() ? 0 : std::stoull(saved);
            state = saved;
            m_applied = output.restore->index;
        }
        committedBytes = 0;
        for (const Entry &it : output.committed) {
            m_applied = it.index;
            committedBytes += it.data.size();
            if (it.kind == EntryKind::Change)
                state = std::to_string(++changes) + ":" + it.data;
        }
        snapshotsTaken += output.snapshotDue ? 1 : 0;
        if (output.snapshotDue)
            m_group->saveSnapshot(m_applied, state);
        return output.messages;
    }

    std::size_t diskBytes()
    {
        std::size_t sum = 0;
        for (const std::string &it : files.names())
            sum += files.content(it).size();
        return sum;
    }

    Group &group() { return *m_group; }

    storage::MemoryFiles files;
    std::uint64_t changes = 0;
    std::string state;
    /// Bytes of the entries that the last advance() returned.
    std::size_t committedBytes = 0;
    std::size_t snapshotsTaken = 0;

private:
    GroupSettings m_settings;
    std::uint64_t m_identity;
    std::unique_ptr<storage::DataFolder> m_folder;
    std::unique_ptr<Group> m_group;
    std::uint64_t m_applied = 0;
};

/// A group whose members are cut off, lose power and return, while changes are proposed.
class History
{
public:
    explicit History(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < memberCount; ++n) {
            m_members.push_back(std::make_unique<Member>(n, smallBounds(n)));
            m_members[n]->open(m_now);
            m_members[n]->install(bootstrapContents(memberCount).snapshot, m_now);
        }
    }

    void play()
    {
        for (int n = 0; n < steps; ++n) {
            disturb();
            propose();
            advance();
        }
        // Without further trouble all members reach the same state.
        m_cut.reset();
        for (int n = 0; n < 300; ++n)
            advance();
        for (const auto &it : m_members) {
            CHECK(it->state == m_members.front()->state);
            CHECK(it->snapshotsTaken > 0);
        }
        CHECK(m_members.front()->changes > 100);
    }

private:
    void disturb()
    {
        const std::size_t target = m_random.below(memberCount);
        if (m_random.below(60) == 0)
            m_cut = m_cut ? std::nullopt : std::optional(target);
        if (m_random.below(150) == 0)
            m_members[target]->restart(m_random, m_now);
    }

    void propose()
    {
        for (const auto &it : m_members) {
            const bool isDue =
                it->group().replica().raftState().role == Role::Leader && m_random.below(3) > 0;
            const std::size_t bytes = minChangeBytes + m_random.below(801);
            if (isDue)
                static_cast<void>(codeOf([&] {
                    return it->group().propose(std::string(bytes, 'x'), m_now);
                }));
        }
    }

    void advance()
    {
        m_now += step;
        for (const auto &it : m_members)
            it->group().tick(m_now);
        for (int round = 0; round < 3; ++round) {
            for (const Message &it : std::exchange(m_messages, {})) {
                const std::size_t to = numberOf(it.to);
                if (m_cut && (to == *m_cut || numberOf(it.from) == *m_cut))
                    continue;
                m_members[to]->group().receive(it, m_now);
            }
            for (const auto &it : m_members) {
                const std::vector<Message> sent = it->advance(m_now);
                checkSent(sent);
                m_messages.insert(m_messages.end(), sent.begin(), sent.end());
                check(*it);
            }
        }
    }

    static void check(Member &member)
    {
        const GroupSettings settings = smallBounds(0);
        CHECK(member.group().replica().entryBytes() <= maxEntryBytes(settings.replica));
        CHECK(member.diskBytes() <= maxDiskBytes(settings));
    }

    static void checkSent(const std::vector<Message> &sent)
    {
        std::map<std::string, std::size_t> bytes;
        for (const Message &it : sent)
            bytes[it.to.instance] += contentBytes(it);
        for (const auto &it : bytes)
            CHECK(it.second <= smallBounds(0).replica.maxInflightBytes);
    }

    static std::size_t numberOf(const MemberId &member)
    {
        for (std::size_t n = 0; n < memberCount; ++n) {
            if (memberId(n) == member)
                return n;
        }
        return 0;
    }

    Random m_random;
    TimePoint m_now{std::chrono::seconds(1000)};
    std::vector<std::unique_ptr<Member>> m_members;
    /// Messages that are not delivered yet.
    std::vector<Message> m_messages;
    std::optional<std::size_t> m_cut;
};

} // namespace

// Guards against a log that outgrows memory and disk because only the number of entries bounds it.
TEST_CASE("a member's log is bounded by bytes in memory, on disk and in flight")
{
    forEachSeed(seeds, [](std::uint64_t seed) {
        CAPTURE(seed);
        History(seed).play();
    });
}

// Guards against a start that holds a long log twice, as after an upgrade.
TEST_CASE("a log longer than its bounds is applied in parts and replaced by a snapshot")
{
    constexpr int count = 200;
    TimePoint now{std::chrono::seconds(1000)};
    GroupSettings unbounded = smallBounds(0);
    unbounded.replica.snapshotBytes = std::size_t{1} << 40;
    Member member(0, unbounded);
    member.open(now);
    REQUIRE(codeOf([&] {
                return member.group().bootstrap({}, now);
            })
            == std::nullopt);
    const auto elect = [&] {
        now += std::chrono::seconds(3);
        member.group().tick(now);
    };
    elect();
    static_cast<void>(member.advance(now));
    for (int n = 0; n < count; ++n) {
        REQUIRE(codeOf([&] {
                    return member.group().propose(std::string(500, 'x'), now);
                })
                == std::nullopt);
        static_cast<void>(member.advance(now));
    }
    REQUIRE(member.diskBytes() > count * 500);
    const std::string expected = member.state;

    const GroupSettings bounded = smallBounds(0);
    member.become(bounded);
    Random random(1);
    member.restart(random, now);
    elect();
    const std::size_t mostAtOnce =
        bounded.replica.maxCommittedBytes + bounded.replica.maxProposalBytes;
    for (int n = 0; n < count && member.changes < count; ++n) {
        static_cast<void>(member.advance(now));
        // One advance() makes the leader's first entry durable, which takes two further drains.
        CHECK(member.committedBytes <= 3 * mostAtOnce);
    }
    static_cast<void>(member.advance(now));
    CHECK(member.state == expected);
    CHECK(member.group().replica().entryBytes() <= maxEntryBytes(bounded.replica));
    CHECK(member.diskBytes() <= maxDiskBytes(bounded));
}
