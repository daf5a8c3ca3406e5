// Tests that the output of a group depends only on durable state, even when the storage fails.

#include "kumquathaven/consensus/group.h"
#include "bench.h"
#include "memoryfiles.h"

#include <doctest/doctest.h>

#include <cerrno>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

constexpr std::uint64_t identity = 5;

/// A group on in-memory files. It is the only voter of its group, or has not joined a group yet.
class GroupFixture
{
public:
    std::optional<ErrorCode> open()
    {
        close();
        return codeOf([this]() -> Result<void> {
            BOOST_LEAF_AUTO(folder,
                            storage::DataFolder::open(files.operations(), "/data", identity));
            m_folder = std::make_unique<storage::DataFolder>(std::move(folder));
            GroupSettings settings;
            settings.instance = memberId(0).instance;
            BOOST_LEAF_AUTO(opened, Group::open(*m_folder, settings, now));
            m_group = std::make_unique<Group>(std::move(opened));
            return {};
        });
    }

    void close()
    {
        m_group.reset();
        m_folder.reset();
    }

    Group &group() { return *m_group; }

    /// Advances the group and records its output. Returns the error code on failure.
    std::optional<ErrorCode> advance()
    {
        return codeOf([this]() -> Result<void> {
            BOOST_LEAF_AUTO(output, m_group->advance(now));
            if (output.restore)
                restored = *output.restore->state;
            for (const Entry &it : output.committed) {
                if (it.kind == EntryKind::Change)
                    applied.push_back(it.data);
            }
            std::move(output.messages.begin(), output.messages.end(), std::back_inserter(messages));
            for (const ReadRefusal &it : output.refusedReads)
                refusedReads.push_back(it.request);
            return {};
        });
    }

    std::optional<ErrorCode> propose(const std::string &data)
    {
        return codeOf([&] {
            return m_group->propose(data, now);
        });
    }

    /// Creates the group and elects its only member as leader.
    void bootstrapAndElect()
    {
        REQUIRE(open() == std::nullopt);
        REQUIRE(codeOf([this] {
                    return m_group->bootstrap("state", now);
                })
                == std::nullopt);
        elect();
    }

    void elect()
    {
        now += std::chrono::seconds(3);
        m_group->tick(now);
        REQUIRE(advance() == std::nullopt);
        REQUIRE(m_group->replica().raftState().role == Role::Leader);
    }

    storage::MemoryFiles files;
    TimePoint now{std::chrono::seconds(1000)};
    std::string restored;
    std::vector<std::string> applied;
    std::vector<Message> messages;
    std::vector<std::uint64_t> refusedReads;

private:
    std::unique_ptr<storage::DataFolder> m_folder;
    std::unique_ptr<Group> m_group;
};

} // namespace

TEST_CASE("a group of one member keeps its committed changes after a power failure")
{
    GroupFixture fixture;
    Random random(1);
    fixture.bootstrapAndElect();
    CHECK(fixture.restored == "state");
    REQUIRE(fixture.propose("first") == std::nullopt);
    REQUIRE(fixture.advance() == std::nullopt);
    CHECK(fixture.applied == std::vector<std::string>{"first"});
    fixture.files.cutPower(storage::MemoryFiles::Unsynced::Lost, random);
    fixture.applied.clear();
    REQUIRE(fixture.open() == std::nullopt);
    fixture.elect();
    CHECK(fixture.applied == std::vector<std::string>{"first"});
    CHECK(codeOf([&] {
              return fixture.group().bootstrap("again", fixture.now);
          })
          == ErrorCode::Conflict);
}

TEST_CASE("a group on a full disk rejects changes and resumes once there is space")
{
    GroupFixture fixture;
    fixture.bootstrapAndElect();
    REQUIRE(fixture.propose("first") == std::nullopt);
    REQUIRE(fixture.advance() == std::nullopt);
    fixture.files.setCapacity(1);
    REQUIRE(fixture.propose("second") == std::nullopt);
    CHECK(fixture.advance() == ErrorCode::Storage);
    CHECK(fixture.group().isStorageDown());
    CHECK(fixture.propose("third") == ErrorCode::Unavailable);
    fixture.now += std::chrono::milliseconds(500);
    CHECK(fixture.advance() == std::nullopt);
    CHECK(fixture.applied == std::vector<std::string>{"first"});
    fixture.files.setCapacity(0);
    fixture.now += std::chrono::seconds(1);
    CHECK(fixture.advance() == std::nullopt);
    CHECK_FALSE(fixture.group().isStorageDown());
    fixture.elect();
    REQUIRE(fixture.propose("fourth") == std::nullopt);
    REQUIRE(fixture.advance() == std::nullopt);
    CHECK(fixture.applied == std::vector<std::string>{"first", "fourth"});
}

TEST_CASE("a group whose storage failed answers no read before it recovers")
{
    GroupFixture fixture;
    fixture.bootstrapAndElect();
    const auto read = [&] {
        return codeOf([&] {
            return fixture.group().readIndex(7, fixture.now);
        });
    };
    CHECK(fixture.group().mayRead(fixture.now));
    REQUIRE(read() == std::nullopt);
    REQUIRE(fixture.propose("change") == std::nullopt);
    fixture.files.failOnce(1, EIO);
    REQUIRE(fixture.advance() == ErrorCode::Storage);
    CHECK_FALSE(fixture.group().mayRead(fixture.now));
    CHECK_FALSE(fixture.group().replica().mayRead(fixture.now));
    CHECK(read() == ErrorCode::Unavailable);
    REQUIRE(fixture.advance() == std::nullopt);
    CHECK(fixture.refusedReads == std::vector<std::uint64_t>{7});
}

TEST_CASE("a member acknowledges nothing that it can't make durable")
{
    struct Row
    {
        std::string name;
        MessageBody body;
    };
    const std::vector<Row> rows{
        {"entries", AppendRequest{0, 0, 0, 1, {{1, 4, EntryKind::Change, "change"}}}},
        {"vote", VoteRequest{false, false, 9, 3}},
        {"snapshot",
         SnapshotRequest{9, 4, encode(Configuration{{memberId(1)}, {}}), 5, 0, 1, "state"}},
    };
    for (const Row &row : rows) {
        for (std::uint64_t operation = 1; operation <= 2; ++operation) {
            CAPTURE(row.name);
            CAPTURE(operation);
            GroupFixture fixture;
            REQUIRE(fixture.open() == std::nullopt);
            fixture.now += std::chrono::seconds(3);
            const MemberId self{memberId(0).instance, identity};
            const Message message{0, memberId(1), self, 4, row.body};
            fixture.files.failOnce(operation, ENOSPC);
            fixture.group().receive(message, fixture.now);
            CHECK(fixture.advance() == ErrorCode::Storage);
            fixture.now += std::chrono::seconds(3);
            REQUIRE(fixture.advance() == std::nullopt);
            CHECK(fixture.messages.empty());
            // The same message gets a response once the storage works again.
            fixture.now += std::chrono::seconds(3);
            fixture.group().receive(message, fixture.now);
            REQUIRE(fixture.advance() == std::nullopt);
            CHECK(fixture.messages.size() == 1);
        }
    }
}

TEST_CASE("a corrupt log fails to open and empty storage starts as a learner")
{
    GroupFixture fixture;
    fixture.bootstrapAndElect();
    REQUIRE(fixture.propose("first") == std::nullopt);
    REQUIRE(fixture.advance() == std::nullopt);
    fixture.close();
    fixture.files.content("/data/group-0/log-2")[70] ^= 1;
    CHECK(fixture.open() == ErrorCode::Corrupt);
    fixture.close();
    fixture.files.loseDisk();
    REQUIRE(fixture.open() == std::nullopt);
    CHECK(fixture.group().replica().configuration().isEmpty());
    CHECK(fixture.group().replica().raftState().role == Role::Learner);
}
