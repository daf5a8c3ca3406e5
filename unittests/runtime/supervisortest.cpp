#include "kumquathaven/runtime/supervisor.h"

#include <doctest/doctest.h>

#include <atomic>
#include <stdexcept>
#include <thread>

using namespace kumquathaven;
using namespace kumquathaven::runtime;

TEST_CASE("restarts get slower and end at the limit of the window")
{
    const RestartPolicy policy{3, std::chrono::seconds(10), std::chrono::milliseconds(100),
                               std::chrono::milliseconds(300)};
    std::deque<TimePoint> failures;
    const TimePoint start{std::chrono::seconds(100)};
    CHECK(decideRestart(policy, failures, start).delay == std::chrono::milliseconds(100));
    CHECK(decideRestart(policy, failures, start).delay == std::chrono::milliseconds(200));
    CHECK(decideRestart(policy, failures, start).delay == std::chrono::milliseconds(300));
    CHECK_FALSE(decideRestart(policy, failures, start).restart);
    CHECK(decideRestart(policy, failures, start + std::chrono::seconds(11)).restart);
}

TEST_CASE("a failed duty is restarted and its siblings go on")
{
    std::atomic<int> starts{0};
    std::atomic<int> siblingStarts{0};
    StopSignal stop;
    StopSignal siblingStarted;
    Supervisor supervisor("test", {5, std::chrono::seconds(30), Duration(1), Duration(1)});
    supervisor.add("failing", [&](const StopSignal &) {
        if (++starts < 3)
            throw std::runtime_error("expected");
        // A supervisor that is stopped does not start a thread that has not run yet, so the stop
        // waits for the sibling's thread.
        siblingStarted.waitFor(std::chrono::seconds(30));
        stop.request();
    });
    supervisor.add("sibling", [&](const StopSignal &signal) {
        ++siblingStarts;
        siblingStarted.request();
        while (!signal.waitFor(std::chrono::seconds(1))) { }
    });
    supervisor.run(stop);
    CHECK(starts == 3);
    CHECK(siblingStarts == 1);
    CHECK(supervisor.restarts() == 2);
}

TEST_CASE("a supervisor that gives up fails in its parent, which restarts it")
{
    std::atomic<int> starts{0};
    StopSignal stop;
    Supervisor child("child", {1, std::chrono::seconds(30), Duration(1), Duration(1)});
    child.add("failing", [&](const StopSignal &) {
        if (++starts == 4)
            stop.request();
        throw std::runtime_error("expected");
    });
    Supervisor parent("parent", {5, std::chrono::seconds(30), Duration(1), Duration(1)});
    parent.add("child", [&](const StopSignal &signal) {
        child.run(signal);
    });
    parent.run(stop);
    CHECK(starts >= 4);
}
