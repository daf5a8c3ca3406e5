#include "updatebudget.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Returns the number of updates that an instance sends in ten seconds if it always has data to
/// report.
int updatesSent(std::size_t others, bool isUrgent)
{
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    UpdateBudget budget;
    int updates = 0;
    for (TimePoint now = startedAt; now < startedAt + seconds(10); now += milliseconds(25)) {
        if (!maySendUpdate(budget, others, isUrgent, now))
            continue;
        recordUpdateSent(budget, others, now);
        ++updates;
    }
    return updates;
}

} // namespace

TEST_CASE("with many servers and instances, reporting a placed prompt at once reduces late answers")
{
    SimulationConfig config;
    config.instances = 57;
    config.engines = 89;
    config.load = 0.4;
    config.variesLengths = true;
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    const LateCounts urgent = Simulation(config, speeds, 1).run();
    // The same number of messages at fixed intervals.
    config.updateInterval = milliseconds(375);
    const LateCounts periodic = Simulation(config, speeds, 1).run();
    MESSAGE("late long: ", urgent.lateLong, " of ", urgent.totalLong, ", periodic ",
            periodic.lateLong, "; late short: ", urgent.lateShort, " of ", urgent.totalShort,
            ", periodic ", periodic.lateShort);
    CHECK(urgent.lateLong < periodic.lateLong);
    CHECK(urgent.lateShort < periodic.lateShort);
}

TEST_CASE("an urgent update finds reserved messages after any number of other updates")
{
    const TimePoint startedAt = TimePoint(std::chrono::hours(1));
    for (const std::size_t others : {1U, 7U, 56U, 300U, 3'500U}) {
        CAPTURE(others);
        UpdateBudget budget;
        TimePoint now = startedAt;
        for (; now < startedAt + seconds(60); now += milliseconds(25)) {
            if (maySendUpdate(budget, others, false, now))
                recordUpdateSent(budget, others, now);
        }
        CHECK(maySendUpdate(budget, others, true, now + milliseconds(50)));
    }
}

TEST_CASE("an instance sends no more messages than the budget, and none twice within 50 ms")
{
    constexpr double messagesPerSecond = 150;
    constexpr int burstUpdates = 3;
    for (const bool isUrgent : {true, false}) {
        CAPTURE(isUrgent);
        for (const std::size_t others : {20U, 56U, 300U, 3'500U}) {
            CAPTURE(others);
            const double expected = 10 * messagesPerSecond / static_cast<double>(others);
            CHECK(updatesSent(others, isUrgent)
                  <= expected + std::max<double>(burstUpdates, messagesPerSecond / others));
            CHECK(updatesSent(others, isUrgent) >= std::floor(expected / 2));
        }
        CHECK(updatesSent(1, isUrgent) <= 200);
    }
    // An instance without peers sends to nobody and must not divide by their number.
    CHECK(updatesSent(0, true) <= 200);
}
