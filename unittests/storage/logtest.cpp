// The log on working files: replay, segments, snapshots, damage and missing files.

#include "logfixture.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::storage;

namespace {

std::optional<ErrorCode> append(Log &log, std::uint64_t index, std::uint64_t term,
                                const std::string &data)
{
    const std::vector<Entry> entries{{index, term, EntryKind::Change, data}};
    Batch batch;
    batch.entries = &entries;
    return codeOf([&] {
        return log.write(batch);
    });
}

} // namespace

TEST_CASE("a log holds after reopening what was written")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        LogFixture fixture;
        LogWorkload workload(seed);
        REQUIRE(fixture.open() == std::nullopt);
        for (int n = 0; n < 60; ++n) {
            REQUIRE(workload.step(fixture.log()) == std::nullopt);
            if (workload.random().below(10) != 0)
                continue;
            REQUIRE(fixture.open() == std::nullopt);
            REQUIRE(fixture.found() == workload.acknowledged);
            REQUIRE(fixture.contents().tornBytes == 0);
        }
    }
}

TEST_CASE("segments before a snapshot are removed")
{
    LogFixture fixture;
    REQUIRE(fixture.open() == std::nullopt);
    for (std::uint64_t n = 1; n <= 100; ++n)
        REQUIRE(append(fixture.log(), n, 1, std::string(50, 'x')) == std::nullopt);
    const std::size_t before = fixture.log().bytes();
    Snapshot snapshot{100, 1, "members", std::make_shared<const std::string>("state")};
    REQUIRE(codeOf([&] {
                return fixture.log().saveSnapshot(snapshot);
            })
            == std::nullopt);
    CHECK(fixture.log().bytes() < before / 20);
    CHECK(fixture.files().names().size() == 3);
}

TEST_CASE("an entry that is too large is refused before anything is written")
{
    LogFixture fixture;
    REQUIRE(fixture.open() == std::nullopt);
    CHECK(append(fixture.log(), 1, 1, std::string(5000, 'x')) == ErrorCode::TooLarge);
    CHECK(append(fixture.log(), 1, 1, "small") == std::nullopt);
}

TEST_CASE("damage to any byte is found or harms no acknowledged entry")
{
    LogFixture fixture;
    LogWorkload workload(5);
    REQUIRE(fixture.open() == std::nullopt);
    for (int n = 0; n < 40; ++n)
        REQUIRE(workload.step(fixture.log()) == std::nullopt);
    fixture.close();
    std::size_t found = 0;
    std::size_t harmless = 0;
    for (const std::string &path : fixture.files().names()) {
        for (std::size_t at = 0; at < fixture.files().content(path).size(); ++at) {
            CAPTURE(path);
            CAPTURE(at);
            MemoryFiles backup = fixture.files();
            const std::string whole = fixture.files().content(path);
            fixture.files().content(path)[at] ^= 0x10;
            const auto ec = fixture.open();
            if (ec)
                REQUIRE(ec == ErrorCode::Corrupt);
            else
                REQUIRE(fixture.found() == workload.acknowledged);
            (ec ? found : harmless) += 1;
            fixture.close();
            fixture.files() = backup;
            fixture.files().content(path) = whole;
        }
    }
    CHECK(found > 10 * harmless);
}

TEST_CASE("a missing file is found")
{
    for (const std::string part : {"identity", "snapshot", "log-"}) {
        CAPTURE(part);
        LogFixture fixture;
        REQUIRE(fixture.open() == std::nullopt);
        for (std::uint64_t n = 1; n <= 100; ++n)
            REQUIRE(append(fixture.log(), n, 1, std::string(50, 'x')) == std::nullopt);
        Snapshot snapshot{100, 1, "members", std::make_shared<const std::string>("state")};
        REQUIRE(codeOf([&] {
                    return fixture.log().saveSnapshot(snapshot);
                })
                == std::nullopt);
        fixture.close();
        const auto names = fixture.files().names();
        const auto path = std::find_if(names.begin(), names.end(), [&](const std::string &it) {
            return it.find(part) != std::string::npos;
        });
        REQUIRE(fixture.files().operations().remove(*path) == 0);
        CHECK(fixture.open() == ErrorCode::Corrupt);
    }
}

TEST_CASE("a payload that holds a record of the log does not pass for one")
{
    LogFixture fixture;
    REQUIRE(fixture.open() == std::nullopt);
    std::vector<std::string> written;
    std::uint64_t index = 0;
    while (fixture.files().names().count("/data/group-0/log-2") == 0) {
        const Entry entry{++index, 1, EntryKind::Change, std::string(30, 'x')};
        REQUIRE(append(fixture.log(), index, 1, entry.data) == std::nullopt);
        written.push_back(textOf(entry));
    }
    // The end of the first segment has a mark that says that more bytes are durable than the second
    // segment has. As the payload of a torn entry it must not count there.
    const std::string first = fixture.files().content("/data/group-0/log-1");
    const std::string payload = first.substr(first.size() - 60) + std::string(20, 'x');
    REQUIRE(append(fixture.log(), ++index, 1, payload) == std::nullopt);
    fixture.close();
    std::string &content = fixture.files().content("/data/group-0/log-2");
    content.resize(content.size() - 22);
    CHECK(fixture.open() == std::nullopt);
    CHECK(fixture.found().entries == written);
}
