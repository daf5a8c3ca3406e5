// The data folder: identity, lock, and the operating system's files.

#include "logfixture.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>

using namespace kumquathaven;
using namespace kumquathaven::storage;

namespace {

std::uint64_t identityAfterOpen(MemoryFiles &files, std::uint64_t newIdentity)
{
    return orElse(
        [&]() -> Result<std::uint64_t> {
            BOOST_LEAF_AUTO(folder, DataFolder::open(files.operations(), "/data", newIdentity));
            return folder.identity();
        },
        [](const Error &) {
            return std::uint64_t{0};
        });
}

/// A folder on disk that is removed with the object.
struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "kumquathaven-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string path;
};

} // namespace

TEST_CASE("the identity stays until the disk is lost")
{
    MemoryFiles files;
    Random random(1);
    CHECK(identityAfterOpen(files, 11) == 11);
    files.cutPower(MemoryFiles::Unsynced::Lost, random);
    CHECK(identityAfterOpen(files, 12) == 11);
    files.loseDisk();
    CHECK(identityAfterOpen(files, 13) == 13);
}

TEST_CASE("a group whose files are gone is not created again")
{
    LogFixture fixture;
    REQUIRE(fixture.open() == std::nullopt);
    fixture.close();
    for (const std::string &it : fixture.files().names()) {
        if (it.find("group-0") != std::string::npos)
            REQUIRE(fixture.files().operations().remove(it) == 0);
    }
    CHECK(fixture.open() == ErrorCode::Corrupt);
}

TEST_CASE("two processes can't use one data folder")
{
    const TemporaryFolder folder;
    const auto open = [&] {
        return DataFolder::open(systemFiles(), folder.path, 5);
    };
    {
        auto first = open();
        REQUIRE(first);
        CHECK(codeOf(open) == ErrorCode::Unavailable);
    }
    CHECK(codeOf(open) == std::nullopt);
}

TEST_CASE("the operating system's files keep a log")
{
    const TemporaryFolder temporary;
    LogWorkload workload(3);
    for (int round = 0; round < 5; ++round) {
        const auto ec = codeOf([&]() -> Result<void> {
            BOOST_LEAF_AUTO(folder, DataFolder::open(systemFiles(), temporary.path, 5));
            Contents contents;
            BOOST_LEAF_AUTO(log, Log::open(folder, 0, smallLimits, contents));
            CHECK(modelOf(contents) == workload.acknowledged);
            for (int n = 0; n < 30; ++n)
                CHECK(workload.step(log) == std::nullopt);
            return {};
        });
        CHECK(ec == std::nullopt);
    }
}
