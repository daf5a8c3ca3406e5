// A load program: replays a seeded list of arrivals over real sockets and reports what came of it.

#include "options.h"
#include "report.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>

using namespace kumquathaven;
using namespace kumquathaven::load;

namespace {

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

// Sends the arrivals in their order from a bounded number of threads.
std::vector<CallResult> replay(const Arguments &arguments, const std::vector<Arrival> &arrivals)
{
    EntryList entries(arguments.targets, arguments.finds);
    std::atomic<std::size_t> next{0};
    std::mutex mutex;
    std::vector<CallResult> results;
    const TimePoint start = monotonicNow();
    const auto work = [&] {
        for (std::size_t n = next++; n < arrivals.size(); n = next++) {
            TimePoint due = start + arrivals[n].at;
            if (!arguments.keepsFull)
                std::this_thread::sleep_until(due);
            else if (monotonicNow() - start > arguments.shape.length)
                return;
            else
                due = monotonicNow();
            const CallResult result =
                callOnce(arguments.call, entries, arrivals[n], n, {start, due});
            const std::lock_guard<std::mutex> lock(mutex);
            results.push_back(result);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t n = 0; n < arguments.maxRunning; ++n)
        threads.emplace_back(work);
    for (auto &it : threads)
        it.join();
    return results;
}

bool writeLines(const std::string &file, const std::vector<CallResult> &results)
{
    std::ofstream out(file);
    for (const CallResult &it : results)
        out << lineOf(it) << "\n";
    out.flush();
    if (!out)
        std::fprintf(stderr, "kumquatload: %s can not be written\n", file.c_str());
    return static_cast<bool>(out);
}

} // namespace

int main(int argc, const char **argv)
{
    Arguments arguments;
    if (!readArguments(argc, argv, arguments))
        return exitUsage;
    std::signal(SIGPIPE, SIG_IGN);
    LoadOutcome outcome;
    outcome.arrivals = makeArrivals(arguments.shape);
    outcome.limits = arguments.limits;
    outcome.warmUp = arguments.warmUp;
    outcome.maxTokens = arguments.call.maxTokens;
    const TimePoint start = monotonicNow();
    outcome.results = replay(arguments, outcome.arrivals);
    outcome.length = monotonicNow() - start;
    if (!arguments.requestsFile.empty() && !writeLines(arguments.requestsFile, outcome.results))
        return exitFailed;
    std::printf("%s\n", reportOf(outcome).c_str());
    return 0;
}
