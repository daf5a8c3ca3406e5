#include "workload.h"

#include <algorithm>

namespace storm {

namespace {

using kumquathaven::fromSeconds;
using kumquathaven::toSeconds;

constexpr double tokensPerSecond = 100;
constexpr double quickPart = 0.70;
constexpr double standardPart = 0.25;

/// Tokens of one class, prompt and answer, uniformly between two bounds.
struct TokenRange
{
    std::uint64_t least;
    std::uint64_t most;
};

constexpr std::array<TokenRange, 3> tokenRanges{{{40, 120}, {120, 420}, {520, 1'520}}};
constexpr std::array<int, 3> patienceSeconds{3, 15, 300};

} // namespace

const std::array<RetryHabit, 4> &retryHabits()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    static const std::array<RetryHabit, 4> habits{{
        {"model client library", 3, milliseconds(500), seconds(8), 0.25, seconds(60), true},
        {"cloud client library", 3, seconds(1), seconds(20), 1.0, std::nullopt, false},
        {"command line", 6, seconds(1), seconds(600), 0, seconds(600), false},
        {"fixed second", 10, seconds(1), seconds(1), 0, std::nullopt, false},
    }};
    return habits;
}

std::optional<Duration> nextAttempt(const RetryHabit &habit, std::uint32_t attempts,
                                    std::optional<Duration> retryAfter, Random &random)
{
    if (attempts >= habit.maxAttempts)
        return std::nullopt;
    if (retryAfter && habit.followsUpTo && *retryAfter <= *habit.followsUpTo)
        return retryAfter;
    Duration delay = habit.firstDelay;
    for (std::uint32_t n = 1; n < attempts && delay < habit.maxDelay; ++n)
        delay *= 2;
    delay = std::min(delay, habit.maxDelay);
    return fromSeconds(toSeconds(delay) * (1 - habit.jitter * random.uniform()));
}

Work drawWork(std::size_t customer, TimePoint now, Random &random)
{
    Work work;
    work.customer = customer;
    work.createdAt = now;
    work.habit = random.below(retryHabits().size());
    const double kind = random.uniform();
    if (kind >= quickPart)
        work.serviceClass =
            kind < quickPart + standardPart ? ServiceClass::Standard : ServiceClass::Patient;
    const TokenRange &range = tokenRanges.at(static_cast<std::size_t>(work.serviceClass));
    work.tokens = range.least + random.below(range.most - range.least + 1);
    return work;
}

Duration patienceFor(ServiceClass serviceClass)
{
    return std::chrono::seconds(patienceSeconds.at(static_cast<std::size_t>(serviceClass)));
}

WorkMeans meansOfWork()
{
    const std::array<double, 3> parts{quickPart, standardPart, 1 - quickPart - standardPart};
    WorkMeans means;
    for (std::size_t n = 0; n < parts.size(); ++n)
        means.tokens +=
            parts[n] * static_cast<double>(tokenRanges[n].least + tokenRanges[n].most) / 2;
    means.seconds = means.tokens / tokensPerSecond;
    return means;
}

Duration timeInPlace(std::uint64_t tokens)
{
    return fromSeconds(static_cast<double>(tokens) / tokensPerSecond);
}

} // namespace storm
