#include "updatebudget.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Least time between two messages to the same instance: what comes meanwhile goes in one.
constexpr Duration minInterval = std::chrono::milliseconds(50);
/// Messages a second that one instance sends on average, and receives where all send as many. At
/// this rate entries were measured at 0.025 of a core on the heaviest day, of 0.09 that the
/// smallest has.
constexpr double messagesPerSecond = 150;
/// Messages that are saved up: those of this time, and at least those of this many tellings.
constexpr double burstSeconds = 1;
constexpr double minBurstUpdates = 3;
/// What is not urgent leaves this part of the saved messages for what is.
constexpr double urgentReserveShare = 0.5;

double maxMessages(std::size_t others)
{
    return std::max(messagesPerSecond * burstSeconds,
                    minBurstUpdates * static_cast<double>(others));
}

/// Returns the messages that may be sent at a time.
double availableMessages(const UpdateBudget &budget, std::size_t others, TimePoint now)
{
    const double added = messagesPerSecond * toSeconds(now - budget.lastSentAt);
    return std::min(maxMessages(others), budget.messages + added);
}

} // namespace

bool maySendUpdate(const UpdateBudget &budget, std::size_t others, bool isUrgent, TimePoint now)
{
    const double reserved = isUrgent ? 0 : urgentReserveShare * maxMessages(others);
    return now - budget.lastSentAt >= minInterval
        && availableMessages(budget, others, now) >= static_cast<double>(others) + reserved;
}

void recordUpdateSent(UpdateBudget &budget, std::size_t others, TimePoint now)
{
    budget.messages = availableMessages(budget, others, now) - static_cast<double>(others);
    budget.lastSentAt = now;
}

} // namespace kumquathaven::gateway
