// The supervisor tree of an entry, over duties that fail.

#include "dutytree.h"

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <stdexcept>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

constexpr runtime::RestartPolicy quick{3, std::chrono::seconds(30), Duration(1), Duration(1)};
constexpr Duration patience = std::chrono::seconds(20);
constexpr int dutyCount = 5;

/// Five duties, the chosen one of which throws at each of its first starts.
struct Tree
{
    Tree(const std::string &failing, int failures)
        : tree(
            {duty("limits", failing, failures),
             duty("feed", failing, failures),
             duty("answers", failing, failures),
             duty("runOnce", failing, failures),
             {duty("watch", failing, failures)}},
            [this](const std::string &) {
                gaveUp.request();
            },
            quick)
    {
        tree.start();
    }

    runtime::DutyFunction duty(const std::string &name, const std::string &failing, int failures)
    {
        starts[name] = 0;
        const int failuresHere = name == failing ? failures : 0;
        return [this, name, failuresHere](const runtime::StopSignal &stop) {
            if (++starts.at(name) <= failuresHere)
                throw std::runtime_error("expected");
            if (++running == dutyCount)
                allRun.request();
            while (!stop.waitFor(patience)) { }
            ++ended;
        };
    }

    std::map<std::string, std::atomic<int>> starts;
    std::atomic<int> running{0};
    std::atomic<int> ended{0};
    runtime::StopSignal allRun;
    runtime::StopSignal gaveUp;
    DutyTree tree;
};

} // namespace

TEST_CASE("a duty of the entry that throws is started again and the others go on")
{
    for (const std::string failing : {"feed", "answers", "runOnce", "watch"}) {
        CAPTURE(failing);
        Tree it(failing, 3);
        CHECK(it.allRun.waitFor(patience));
        it.tree.stop();
        for (const auto &[name, starts] : it.starts)
            CHECK(starts == (name == failing ? 4 : 1));
        CHECK(it.ended == dutyCount);
        CHECK_FALSE(it.gaveUp.requested());
    }
}

TEST_CASE("the entry gives up when its feed fails too often, and ends the other duties first")
{
    Tree it("feed", 1000);
    CHECK(it.gaveUp.waitFor(patience));
    CHECK(it.starts.at("feed") == 4);
    CHECK(it.ended == it.running);
}

TEST_CASE("the entry gives up at the first failure of its limits")
{
    Tree it("limits", 1);
    CHECK(it.gaveUp.waitFor(patience));
    CHECK(it.starts.at("limits") == 1);
}

TEST_CASE("watches that fail without end do not end the entry")
{
    Tree it("watch", 200);
    CHECK(it.allRun.waitFor(patience));
    CHECK_FALSE(it.gaveUp.requested());
}
