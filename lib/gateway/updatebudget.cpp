#include "updatebudget.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Minimum time between two updates to the same instance: data that accrues meanwhile is sent in
/// one message.
constexpr Duration minInterval = std::chrono::milliseconds(50);
/// Messages a second that one instance sends on average, and receives if all instances send as
/// many. At this rate entries use 0.025 of a core under the heaviest load, out of the 0.09 that the
/// smallest entry has.
constexpr double messagesPerSecond = 150;
/// Unused messages accrue up to the number of messages of this many seconds, or up to the number
/// that this many updates to all peers take, whichever is greater.
constexpr double burstSeconds = 1;
constexpr double minBurstUpdates = 3;
/// Share of the accrued messages that is reserved for urgent updates.
constexpr double urgentReserveShare = 0.5;

double maxMessages(std::size_t others)
{
    return std::max(messagesPerSecond * burstSeconds,
                    minBurstUpdates * static_cast<double>(others));
}

/// Returns the number of messages that may be sent now.
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
