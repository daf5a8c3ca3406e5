// Plays load while a third of the engines returns, and compares what callers get with and without
// the pace of servers that have just started.

#include "pacing.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

namespace {

SimulationConfig returnOfAThird()
{
    SimulationConfig config;
    config.instances = 57;
    config.engines = 45;
    config.returning = 15;
    config.returnAfter = milliseconds(3'000);
    config.load = 0.4;
    return config;
}

/// Requests of a kind that were late or not answered in the time of their callers.
int missedLong(const LateCounts &it)
{
    return it.lateLong + it.lostLong;
}

int missedShort(const LateCounts &it)
{
    return it.lateShort + it.lostShort;
}

} // namespace

TEST_CASE(
    "of servers that return at a part of their speed fewer answers are late if they are paced")
{
    LateCounts paced;
    LateCounts unpaced;
    for (const double speed : {0.125, 0.25, 0.5}) {
        SimulationConfig config = returnOfAThird();
        config.returnSpeed = speed;
        config.slowAfterReturn = milliseconds(4'000);
        paced += Simulation(config, {1.0}, 1).run();
        config.pacesServers = false;
        unpaced += Simulation(config, {1.0}, 1).run();
    }
    MESSAGE("late or lost, paced and not: long ", missedLong(paced), " ", missedLong(unpaced),
            " of ", paced.totalLong, "; short ", missedShort(paced), " ", missedShort(unpaced),
            " of ", paced.totalShort);
    // The long ones are those that a slow server makes late; the short ones must not pay for them.
    CHECK(4 * missedLong(paced) < 3 * missedLong(unpaced));
    CHECK(missedShort(paced) <= missedShort(unpaced) + paced.totalShort / 200);
}

TEST_CASE("servers that return at their full speed are not left idle")
{
    SimulationConfig config = returnOfAThird();
    config.load = 0.7;
    const LateCounts paced = Simulation(config, {1.0}, 1).run();
    config.pacesServers = false;
    const LateCounts unpaced = Simulation(config, {1.0}, 1).run();
    MESSAGE("late or lost, paced and not: long ", missedLong(paced), " ", missedLong(unpaced),
            " of ", paced.totalLong, "; short ", missedShort(paced), " ", missedShort(unpaced),
            " of ", paced.totalShort);
    CHECK(missedLong(paced) <= missedLong(unpaced) + paced.totalLong / 200);
    CHECK(missedShort(paced) <= missedShort(unpaced) + paced.totalShort / 200);
}
