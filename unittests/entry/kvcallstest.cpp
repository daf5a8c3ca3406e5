#include "kvcalls.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::entry;

TEST_CASE("an engine's answer counts leading blocks that were asked for, and nothing else")
{
    struct Row
    {
        const char *body;
        std::optional<std::size_t> moved;
    };
    const std::vector<routing::BlockHash> blocks{routing::BlockHash(1), routing::BlockHash(2)};
    const Row rows[] = {
        {R"({"imported":["0000000000000001","0000000000000002"]})", 2},
        {R"({"imported":["0000000000000001"]})", 1},
        {R"({"imported":["0000000000000002","0000000000000001"]})", 0},
        {R"({"imported":["0000000000000001","0000000000000002","0000000000000003"]})", 2},
        {R"({"imported":[1,2]})", 0},
        {R"({"imported":[]})", 0},
        {R"({"imported":7})", std::nullopt},
        {R"({"exported":[]})", std::nullopt},
        {R"([])", std::nullopt},
        {R"({"imported":["00)", std::nullopt},
        {"", std::nullopt},
    };
    for (const Row &it : rows) {
        CAPTURE(it.body);
        CHECK(movedBlocks(it.body, "imported", blocks) == it.moved);
    }
}

TEST_CASE("a move whose time is over, and one to an engine that is gone, ask for nothing more")
{
    catalogue::Upstream engine;
    engine.address = "127.0.0.1:1";
    const auto never = [] {
        return false;
    };
    const std::vector<routing::BlockHash> blocks{routing::BlockHash(1)};
    const TimePoint now = monotonicNow();
    CHECK(moveBlocks(KvDirection::Import, engine, "", blocks, now, never).timedOut);
    const TimePoint later = now + std::chrono::seconds(5);
    const KvMove lost = moveBlocks(KvDirection::Import, engine, "", blocks, later, never);
    CHECK(!lost.timedOut);
    CHECK(!lost.moved);
    CHECK(!hasBlock(engine, routing::BlockHash(1)));
}
