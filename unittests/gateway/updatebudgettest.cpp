#include "updatebudget.h"
#include "enginesimulation.h"

#include <doctest/doctest.h>

using namespace gatewaytest;
using std::chrono::seconds;

namespace {

/// Returns how often an instance that always has news tells them in ten seconds.
int tellingsOf(std::size_t others, bool isUrgent)
{
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    NewsBudget budget;
    int tellings = 0;
    for (TimePoint now = begun; now < begun + seconds(10); now += milliseconds(25)) {
        if (!mayTellNews(budget, others, isUrgent, now))
            continue;
        noteNewsTold(budget, others, now);
        ++tellings;
    }
    return tellings;
}

} // namespace

TEST_CASE(
    "where servers and instances are many, callers wait less if a placed prompt is told at once")
{
    Conduct conduct;
    conduct.instances = 57;
    conduct.engines = 89;
    conduct.load = 0.4;
    conduct.lengthsDiffer = true;
    const std::vector<double> speeds = {0.6, 1.0, 1.6};
    const Late atOnce = Play(conduct, speeds, 1).run();
    // As many messages in turn.
    conduct.newsInterval = milliseconds(375);
    const Late inTurn = Play(conduct, speeds, 1).run();
    MESSAGE("late long: ", atOnce.longOnes, " of ", atOnce.ofLong, ", in turn ", inTurn.longOnes,
            "; late short: ", atOnce.shortOnes, " of ", atOnce.ofShort, ", in turn ",
            inTurn.shortOnes);
    CHECK(atOnce.longOnes < inTurn.longOnes);
    CHECK(atOnce.shortOnes < inTurn.shortOnes);
}

TEST_CASE("an urgent telling finds messages left over after any number of others")
{
    const TimePoint begun = TimePoint(std::chrono::hours(1));
    for (const std::size_t others : {1U, 7U, 56U, 300U, 3'500U}) {
        CAPTURE(others);
        NewsBudget budget;
        TimePoint now = begun;
        for (; now < begun + seconds(60); now += milliseconds(25)) {
            if (mayTellNews(budget, others, false, now))
                noteNewsTold(budget, others, now);
        }
        CHECK(mayTellNews(budget, others, true, now + milliseconds(50)));
    }
}

TEST_CASE("an instance sends no more messages than the budget, and none twice within 50 ms")
{
    constexpr double messagesPerSecond = 150;
    constexpr int savedTellings = 3;
    for (const bool isUrgent : {true, false}) {
        CAPTURE(isUrgent);
        for (const std::size_t others : {20U, 56U, 300U, 3'500U}) {
            CAPTURE(others);
            const double most = 10 * messagesPerSecond / static_cast<double>(others);
            CHECK(tellingsOf(others, isUrgent)
                  <= most + std::max<double>(savedTellings, messagesPerSecond / others));
            CHECK(tellingsOf(others, isUrgent) >= std::floor(most / 2));
        }
        CHECK(tellingsOf(1, isUrgent) <= 200);
    }
    // An instance without others has nobody to tell, and no division by their number.
    CHECK(tellingsOf(0, true) <= 200);
}
