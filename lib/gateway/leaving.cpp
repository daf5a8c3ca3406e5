#include "leaving.h"

#include <algorithm>

namespace kumquathaven::gateway {

namespace {

/// Connections are accepted for this share of the grace period, so that most of it is left for the
/// answers, and at most for the time for which callers cache the names of entries.
constexpr double acceptShare = 0.35;
constexpr Duration maxAcceptTime = std::chrono::milliseconds(2800);
/// Time between the last answers and the end of the process, for sending them, and between the end
/// of the process and the end of the grace period. In a short grace period each is at most this
/// share of it.
constexpr Duration sendTime = std::chrono::milliseconds(250);
constexpr Duration graceMargin = std::chrono::milliseconds(400);
constexpr double maxMarginShare = 0.125;

} // namespace

Leaving leavingFrom(Duration grace, TimePoint now)
{
    const auto shareOfGrace = [grace](double share) {
        return std::chrono::duration_cast<Duration>(grace * share);
    };
    const Duration maxMargin = shareOfGrace(maxMarginShare);
    Leaving leaving;
    leaving.acceptsUntil = now + std::min(maxAcceptTime, shareOfGrace(acceptShare));
    leaving.endsAt = now + grace - std::min(graceMargin, maxMargin);
    leaving.answersUntil = leaving.endsAt - std::min(sendTime, maxMargin);
    return leaving;
}

bool acceptsWhileLeaving(const Leaving &leaving, TimePoint deadline)
{
    return deadline <= leaving.answersUntil;
}

} // namespace kumquathaven::gateway
