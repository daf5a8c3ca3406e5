// Benchmarks, skipped by default. Run them with: consensus_tests -ns -tc="measure*"

#include "bench.h"
#include "kumquathaven/consensus/group.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

constexpr std::size_t changeBytes = 200;

/// A group with one member that stores its log in a temporary folder of the operating system.
class DiskGroup
{
public:
    DiskGroup()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "kumquathaven-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~DiskGroup()
    {
        m_group.reset();
        m_folder.reset();
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    DiskGroup(const DiskGroup &) = delete;
    DiskGroup &operator=(const DiskGroup &) = delete;

    /// Opens or reopens the group and elects its only member. Returns the number of entries that
    /// were applied, which includes those replayed from the log.
    std::size_t open(std::uint64_t snapshotEntries)
    {
        m_group.reset();
        m_folder.reset();
        const auto ec = codeOf([&]() -> Result<void> {
            BOOST_LEAF_AUTO(folder, storage::DataFolder::open(storage::systemFiles(), m_path, 5));
            m_folder = std::make_unique<storage::DataFolder>(std::move(folder));
            GroupSettings settings;
            settings.instance = "control-1";
            settings.replica.snapshotEntries = snapshotEntries;
            BOOST_LEAF_AUTO(group, Group::open(*m_folder, settings, now));
            m_group = std::make_unique<Group>(std::move(group));
            return {};
        });
        REQUIRE(ec == std::nullopt);
        if (m_group->replica().configuration().isEmpty())
            REQUIRE(codeOf([&] {
                        return m_group->bootstrap("", now);
                    })
                    == std::nullopt);
        now += std::chrono::seconds(3);
        m_group->tick(now);
        return advance();
    }

    void change(std::size_t count, std::size_t batch)
    {
        for (std::size_t n = 1; n <= count; ++n) {
            REQUIRE(codeOf([&] {
                        return m_group->propose(std::string(changeBytes, 'x'), now);
                    })
                    == std::nullopt);
            if (n % batch == 0 || n == count)
                advance();
        }
    }

    std::size_t logBytes() const { return m_group->logBytes(); }

    TimePoint now{std::chrono::seconds(1000)};

private:
    std::size_t advance()
    {
        return orElse(
            [&]() -> Result<std::size_t> {
                BOOST_LEAF_AUTO(output, m_group->advance(now));
                if (output.snapshotDue)
                    m_group->saveSnapshot(output.committed.back().index, std::string(100000, 's'));
                return output.committed.size();
            },
            [](const Error &error) -> std::size_t {
                FAIL(describe(error));
                return 0;
            });
    }

    std::string m_path;
    std::unique_ptr<storage::DataFolder> m_folder;
    std::unique_ptr<Group> m_group;
};

double millisecondsSince(TimePoint start)
{
    return 1000 * toSeconds(monotonicNow() - start);
}

} // namespace

TEST_CASE("measure replay after a restart" * doctest::skip())
{
    for (const std::uint64_t snapshotEntries : {std::uint64_t{4096}, std::uint64_t{1} << 40}) {
        for (const std::size_t count : {std::size_t{500}, std::size_t{50000}}) {
            DiskGroup group;
            group.open(snapshotEntries);
            group.change(count, 64);
            const TimePoint start = monotonicNow();
            const std::size_t applied = group.open(snapshotEntries);
            MESSAGE("changes " << count << ", snapshot every " << snapshotEntries << ": open in "
                               << millisecondsSince(start) << " ms, " << applied
                               << " entries applied, log of " << group.logBytes() << " bytes");
        }
    }
}

TEST_CASE("measure durable changes" * doctest::skip())
{
    for (const std::size_t batch : {std::size_t{1}, std::size_t{64}}) {
        constexpr std::size_t count = 2000;
        DiskGroup group;
        group.open(4096);
        const TimePoint start = monotonicNow();
        group.change(count, batch);
        MESSAGE("batches of " << batch << ": " << 1000 * millisecondsSince(start) / count
                              << " us for each durable change");
    }
}

TEST_CASE("measure the cost of ticks and changes" * doctest::skip())
{
    for (const std::size_t size : {std::size_t{3}, std::size_t{5}}) {
        constexpr std::size_t count = 20000;
        Bench bench(size);
        const std::size_t leader = bench.waitForLeader();
        bench.advanceTime(std::chrono::seconds(1));
        TimePoint start = monotonicNow();
        for (std::size_t n = 0; n < count; ++n) {
            bench.now += Duration(1);
            for (std::size_t it = 0; it < size; ++it) {
                bench[it].tick(bench.now);
                bench.applyEffects(it);
            }
        }
        const double idle = 1e6 * millisecondsSince(start) / static_cast<double>(count * size);
        start = monotonicNow();
        for (std::size_t n = 0; n < count; ++n) {
            REQUIRE(codeOf([&] {
                        return bench[leader].propose(std::string(changeBytes, 'x'), bench.now);
                    })
                    == std::nullopt);
            bench.deliver();
        }
        MESSAGE(size << " members: " << idle << " ns for each idle tick, "
                     << 1000 * millisecondsSince(start) / count
                     << " us for each change on all members together, without files and encoding");
    }
}

TEST_CASE("measure idle traffic" * doctest::skip())
{
    for (const std::size_t size : {std::size_t{3}, std::size_t{5}}) {
        constexpr int seconds = 100;
        Bench bench(size);
        bench.waitForLeader();
        bench.advanceTime(std::chrono::seconds(1));
        std::size_t messages = 0;
        std::size_t bytes = 0;
        const TimePoint start = monotonicNow();
        bench.advanceTime(std::chrono::seconds(seconds), [&](const Message &it) {
            ++messages;
            bytes += encode(it).size();
            return true;
        });
        MESSAGE(size << " members at rest: " << messages / seconds << " messages and "
                     << bytes / seconds << " bytes a second, " << bytes / seconds / (size - 1)
                     << " for each follower, " << millisecondsSince(start) / seconds
                     << " ms of processor time a second");
    }
}
