#include "linewriter.h"

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

using namespace kumquathaven;
using namespace kumquathaven::telemetry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

std::uint32_t taken(LogBudget &budget, LineKind kind, std::uint32_t tries, TimePoint now)
{
    std::uint32_t n = 0;
    for (std::uint32_t it = 0; it < tries; ++it)
        n += takeLine(budget, kind, now) ? 1 : 0;
    return n;
}

WaitingLine countLine(std::uint64_t n)
{
    return {0, "dropped " + std::to_string(n)};
}

} // namespace

TEST_CASE("lines are bounded by the rate and a burst")
{
    LogBudget budget;
    budget.linesPerSecond = 100;
    CHECK(taken(budget, LineKind::Failure, 10'000, start) == 400);
    CHECK(taken(budget, LineKind::Failure, 10'000, start + seconds(1)) == 100);
}

TEST_CASE("lines about failures are kept before those about successes")
{
    LogBudget budget;
    budget.linesPerSecond = 100;
    CHECK(taken(budget, LineKind::Success, 10'000, start) == 200);
    CHECK(taken(budget, LineKind::Success, 10, start) == 0);
    CHECK(taken(budget, LineKind::Failure, 10'000, start) == 200);
}

TEST_CASE("without a rate nothing is dropped")
{
    LogBudget budget;
    CHECK(taken(budget, LineKind::Success, 10'000, start) == 10'000);
}

TEST_CASE("a line is never waited for, and what was dropped is told")
{
    std::mutex mutex;
    std::condition_variable changed;
    bool isOpen = false;
    std::vector<std::string> written;
    LineWriter writer(
        0,
        [&](const std::vector<WaitingLine> &lines) {
            std::unique_lock<std::mutex> lock(mutex);
            changed.wait(lock, [&] {
                return isOpen;
            });
            for (const WaitingLine &it : lines)
                written.push_back(it.text);
        },
        countLine);
    // Nobody reads: the first lines block the writer's thread, and the rest fill what may wait.
    const std::string text(1000, 'x');
    std::uint64_t dropped = 0;
    for (int n = 0; n < 5000; ++n) {
        if (writer.take(LineKind::Success, start))
            writer.push({0, text});
        else
            ++dropped;
        if (n == 0)
            writer.flush(milliseconds(1));
    }
    CHECK(dropped > 0);
    CHECK(writer.dropped() == dropped);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        isOpen = true;
    }
    changed.notify_all();
    writer.flush(seconds(5));
    const std::lock_guard<std::mutex> lock(mutex);
    CHECK(written.size() >= 5000 - dropped);
    CHECK(std::count(written.begin(), written.end(), "dropped " + std::to_string(dropped)) <= 1);
}

TEST_CASE("a flush ends although nobody reads")
{
    const auto blocked = std::make_shared<std::atomic<bool>>(true);
    {
        LineWriter writer(
            0,
            [blocked](const std::vector<WaitingLine> &) {
                while (*blocked)
                    std::this_thread::sleep_for(milliseconds(5));
            },
            countLine);
        writer.push({0, "a line"});
        writer.flush(milliseconds(50));
    }
    *blocked = false;
    CHECK(true);
}
