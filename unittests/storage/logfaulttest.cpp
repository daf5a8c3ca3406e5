// The log when the power is cut, operations fail and the disk is full.

#include "logfixture.h"

#include <doctest/doctest.h>

#include <cerrno>

using namespace kumquathaven;
using namespace kumquathaven::storage;

namespace {

using Unsynced = MemoryFiles::Unsynced;

/// Returns whether \p found is what was acknowledged, perhaps with a part of a step that was
/// under way: its hard state, and any number of its entries.
bool isAllowed(const LogModel &found, const LogModel &acknowledged, const LogModel &attempted)
{
    if (found == acknowledged || found == attempted)
        return true;
    if (found.term != attempted.term || found.snapshotIndex != acknowledged.snapshotIndex)
        return false;
    // A prefix of the attempted entries; those the step had not replaced yet may follow.
    std::size_t same = 0;
    while (same < found.entries.size() && same < attempted.entries.size()
           && found.entries[same] == attempted.entries[same])
        ++same;
    return same == found.entries.size() || found.entries == acknowledged.entries;
}

struct PowerCut
{
    const char *name;
    Unsynced unsynced;
};

constexpr PowerCut powerCuts[] = {
    {"unsynced bytes are lost", Unsynced::Lost},
    {"a part of the unsynced bytes is left", Unsynced::Torn},
    {"the unsynced bytes are garbled", Unsynced::Garbled},
};

} // namespace

TEST_CASE("a power cut at any operation loses nothing that was acknowledged")
{
    for (const PowerCut &cut : powerCuts) {
        for (std::uint64_t operation = 1; operation <= 150; ++operation) {
            CAPTURE(cut.name);
            CAPTURE(operation);
            LogFixture fixture;
            LogWorkload workload(operation);
            REQUIRE(fixture.open() == std::nullopt);
            for (int round = 0; round < 3; ++round) {
                fixture.files().failFrom(operation, EIO);
                while (!workload.step(fixture.log()))
                    ;
                const LogModel attempted = workload.attempted();
                fixture.files().cutPower(cut.unsynced, workload.random());
                REQUIRE(fixture.open() == std::nullopt);
                REQUIRE(isAllowed(fixture.found(), workload.acknowledged, attempted));
                workload.acknowledged = fixture.found();
            }
        }
    }
}

TEST_CASE("a power cut while a log is created leaves a folder that opens")
{
    for (const PowerCut &cut : powerCuts) {
        for (std::uint64_t operation = 1; operation <= 20; ++operation) {
            CAPTURE(cut.name);
            CAPTURE(operation);
            Random random(operation);
            LogFixture fixture;
            fixture.files().failFrom(operation, EIO);
            const auto ec = fixture.open();
            CHECK((!ec || *ec == ErrorCode::Storage));
            fixture.files().cutPower(cut.unsynced, random);
            CHECK(fixture.open() == std::nullopt);
        }
    }
}

TEST_CASE("a log goes on after any single operation failed")
{
    for (const int code : {EIO, ENOSPC}) {
        for (std::uint64_t operation = 1; operation <= 150; ++operation) {
            CAPTURE(code);
            CAPTURE(operation);
            LogFixture fixture;
            LogWorkload workload(operation);
            REQUIRE(fixture.open() == std::nullopt);
            fixture.files().failOnce(operation, code);
            for (int n = 0; n < 80; ++n) {
                const auto ec = workload.step(fixture.log());
                if (!ec)
                    continue;
                REQUIRE(ec == ErrorCode::Storage);
                const LogModel attempted = workload.attempted();
                Contents contents;
                REQUIRE(codeOf([&] {
                            return fixture.log().reload(contents);
                        })
                        == std::nullopt);
                REQUIRE(isAllowed(modelOf(contents), workload.acknowledged, attempted));
                workload.acknowledged = modelOf(contents);
            }
            fixture.files().cutPower(Unsynced::Torn, workload.random());
            REQUIRE(fixture.open() == std::nullopt);
            REQUIRE(fixture.found() == workload.acknowledged);
        }
    }
}

TEST_CASE("a write that failed is not found later")
{
    LogFixture fixture;
    LogWorkload workload(9);
    REQUIRE(fixture.open() == std::nullopt);
    const std::vector<Entry> entries{{1, 1, EntryKind::Change, "unacknowledged"}};
    Batch batch;
    batch.entries = &entries;
    const auto write = [&] {
        return codeOf([&] {
            return fixture.log().write(batch);
        });
    };
    // The second operation is the sync: the bytes are in the file, and not durable.
    fixture.files().failOnce(2, EIO);
    REQUIRE(write() == ErrorCode::Storage);
    Contents contents;
    REQUIRE(codeOf([&] {
                return fixture.log().reload(contents);
            })
            == std::nullopt);
    CHECK(contents.entries.empty());
}

TEST_CASE("a full disk is reported, and the log goes on once there is room")
{
    for (std::size_t capacity = 200; capacity < 1500; capacity += 37) {
        CAPTURE(capacity);
        LogFixture fixture;
        LogWorkload workload(capacity);
        REQUIRE(fixture.open() == std::nullopt);
        fixture.files().setCapacity(capacity);
        std::optional<ErrorCode> ec;
        while (!ec)
            ec = workload.step(fixture.log());
        REQUIRE(ec == ErrorCode::Storage);
        for (int n = 0; n < 5; ++n)
            CHECK((workload.step(fixture.log()) || true));
        fixture.files().setCapacity(0);
        for (int n = 0; n < 20; ++n)
            REQUIRE(workload.step(fixture.log()) == std::nullopt);
        fixture.files().cutPower(Unsynced::Garbled, workload.random());
        REQUIRE(fixture.open() == std::nullopt);
        REQUIRE(fixture.found() == workload.acknowledged);
    }
}
