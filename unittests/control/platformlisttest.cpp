// Tests the parsing of the platform's list and the hints that follow from it.

#include "platformlist.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::control;
using std::chrono::seconds;

namespace {

/// The list's clock reads 5000 s when this process's clock reads 100 s.
const ClockReading present{std::chrono::system_clock::time_point(seconds(5000)),
                           TimePoint(seconds(100))};

const std::string head = R"({"format":"kumquathaven-instances","version":1,"writtenAt":4990})"
                         "\n";

/// Converts a time on this process's clock, in seconds, to milliseconds on the list's clock.
std::uint64_t millisecondsAt(int second)
{
    return 1000 * (4900 + static_cast<std::uint64_t>(second));
}

std::string lineOf(const std::string &state, int at)
{
    return R"({"instance":"e1","state":")" + state + R"(","at":)" + std::to_string(at) + "}\n";
}

std::string problemOf(const std::string &text)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parsePlatformList(text, "list", present));
            return std::string();
        },
        [](const Error &error) {
            return error.message;
        });
}

PlatformList listWith(const std::string &state, int at)
{
    return orElse(
        [&] {
            return parsePlatformList(head + lineOf(state, at), "list", present);
        },
        [](const Error &error) {
            FAIL(describe(error));
            return PlatformList();
        });
}

} // namespace

TEST_CASE("a platform list is accepted completely or not at all")
{
    const PlatformList list = listWith("leaving", 4980);
    CHECK(list.writtenAt == TimePoint(seconds(90)));
    CHECK(list.instances.at("e1").state == ListedState::Leaving);
    CHECK(list.instances.at("e1").at == TimePoint(seconds(80)));
    CHECK(list.instances.at("e1").since == millisecondsAt(80));
    CHECK(problemOf(head).empty());
    const std::string line = lineOf("live", 4980);
    const std::pair<std::string, std::string> bad[] = {
        {"", "is empty"},
        {line, "line 1 "},
        {"{", "line 1 "},
        {head + "\n", "line 2 "},
        {head + line + line, "line 3 "},
        {head + lineOf("away", 4980), "line 2 "},
        {head + lineOf("live", 5010), "line 2 "},
        {head + line.substr(0, line.size() - 1), "line 2 does not end"},
        {head + line.substr(0, 20), "line 2 "},
        {std::string(maxPlatformListBytes + 1, ' '), "has more than"},
    };
    for (const auto &it : bad) {
        CAPTURE(it.second);
        CHECK(problemOf(it.first).find(it.second) == 0);
    }
}

TEST_CASE("a hint follows the list unless the instance has announced a later state")
{
    catalogue::Instances instances;
    instances.entries["e1"].incarnation = 7;
    struct Row
    {
        std::string name;
        std::string state;
        int listedAt;
        /// Times in seconds on this process's clock; a negative value means never. listedAt is on
        /// the list's clock.
        int announcedAt;
        int lastHeartbeatAt;
        bool hinted;
        bool expected;
    };
    const Row rows[] = {
        {"leaving", "leaving", 4980, 70, 99, false, true},
        {"a list from before the announcement", "leaving", 4980, 85, 99, false, false},
        {"already hinted before this member became the leader", "leaving", 4980, 99, 99, true,
         true},
        {"gone and silent", "gone", 4980, 70, 75, false, true},
        {"gone, but with a later heartbeat", "gone", 4980, 70, 85, false, false},
        {"hinted as gone, then a heartbeat", "gone", 4980, 70, 85, true, false},
        {"gone, and a new leader has no heartbeat", "gone", 4980, 70, -1, false, true},
        {"live again", "live", 4980, 70, 99, true, false},
        {"live", "live", 4980, 70, -1, false, false},
        {"no longer in the list", "", 0, 70, 99, true, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        instances.entries["e1"].since = millisecondsAt(row.announcedAt);
        Liveness liveness;
        if (row.lastHeartbeatAt >= 0)
            liveness.recordHeartbeat("e1", 7, TimePoint(seconds(row.lastHeartbeatAt)));
        PlatformList list;
        if (!row.state.empty())
            list = listWith(row.state, row.listedAt);
        list.instances["unknown"].state = ListedState::Live;
        instances.hinted.clear();
        if (row.hinted)
            instances.hinted.insert("e1");
        const auto changes = decideHints(instances, &list, liveness);
        CHECK(changes.size() == (row.hinted == row.expected ? 0 : 1));
        for (const auto &it : changes) {
            CHECK(it.name == "e1");
            CHECK(it.incarnation == 7);
            CHECK(it.leaving == row.expected);
        }
    }
    instances.hinted = {"e1"};
    CHECK(decideHints(instances, nullptr, Liveness()).size() == 1);
}
