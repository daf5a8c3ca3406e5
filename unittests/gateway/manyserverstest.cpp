// Plays of many instances before many servers. They take most of the time of this program's cases.

#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;

TEST_CASE("where servers are many, callers wait less if instances tell each other of their pauses")
{
    // Each instance gets so few answers of each server that it hardly learns any speed by itself.
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    Conduct conduct;
    conduct.instances = 57;
    conduct.engines = 89;
    conduct.load = 1.0;
    // Where news are old, instances that know the fast engines all choose these at once.
    conduct.newsInterval = milliseconds(50);
    const Late told = Play(conduct, speeds, 1).run();
    conduct.tellsPauses = false;
    const Late untold = Play(conduct, speeds, 1).run();
    MESSAGE("late long: ", told.longOnes, " of ", told.ofLong, ", untold ", untold.longOnes,
            "; late short: ", told.shortOnes, " of ", told.ofShort, ", untold ", untold.shortOnes);
    CHECK(told.longOnes < untold.longOnes);
    CHECK(told.longOnes + told.shortOnes < untold.longOnes + untold.shortOnes);
}
