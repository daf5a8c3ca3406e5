#include "updatebudget.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Least time between two messages to the same instance: what comes meanwhile goes in one.
constexpr Duration leastInterval = std::chrono::milliseconds(50);
/// Messages a second that one instance sends on average, and receives where all send as many. At
/// this rate entries were measured at 0.025 of a core on the heaviest day, of 0.09 that the
/// smallest has.
constexpr double messagesPerSecond = 150;
/// Messages that are saved up: those of this time, and at least those of this many tellings.
constexpr double savedSeconds = 1;
constexpr double leastSavedTellings = 3;
/// What is not urgent leaves this part of the saved messages for what is.
constexpr double keptShare = 0.5;

double mostSaved(std::size_t others)
{
    return std::max(messagesPerSecond * savedSeconds,
                    leastSavedTellings * static_cast<double>(others));
}

/// Returns the messages that may be sent at a time.
double messagesAt(const NewsBudget &budget, std::size_t others, TimePoint now)
{
    const double added = messagesPerSecond * toSeconds(now - budget.at);
    return std::min(mostSaved(others), budget.messages + added);
}

} // namespace

bool mayTellNews(const NewsBudget &budget, std::size_t others, bool isUrgent, TimePoint now)
{
    const double kept = isUrgent ? 0 : keptShare * mostSaved(others);
    return now - budget.at >= leastInterval
        && messagesAt(budget, others, now) >= static_cast<double>(others) + kept;
}

void noteNewsTold(NewsBudget &budget, std::size_t others, TimePoint now)
{
    budget.messages = messagesAt(budget, others, now) - static_cast<double>(others);
    budget.at = now;
}

} // namespace kumquathaven::gateway
