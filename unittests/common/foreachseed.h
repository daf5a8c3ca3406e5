// Runs the generated histories of a test case in parallel, one seed each.

#ifndef KUMQUATHAVEN_UNITTESTS_COMMON_FOREACHSEED_H
#define KUMQUATHAVEN_UNITTESTS_COMMON_FOREACHSEED_H

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <exception>
#include <future>
#include <thread>
#include <vector>

namespace kumquathaven::testing {

/// Calls \p history with each seed from 1 to \p last, on as many threads as the machine has cores,
/// but at most eight. Histories must not share state. If a history throws, for example because of a
/// failed REQUIRE, one of the exceptions is thrown again after all threads have ended.
template <typename History>
void forEachSeed(std::uint64_t last, const History &history)
{
    constexpr unsigned maxWorkers = 8;
    const unsigned workerCount = std::clamp(std::thread::hardware_concurrency(), 1U, maxWorkers);
    std::atomic<std::uint64_t> next{1};
    std::vector<std::future<void>> workers;
    for (unsigned n = 0; n < workerCount; ++n) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::uint64_t seed = next++; seed <= last; seed = next++)
                history(seed);
        }));
    }
    std::exception_ptr failure;
    for (auto &it : workers) {
        try {
            it.get();
        } catch (...) {
            failure = std::current_exception();
        }
    }
    if (failure)
        std::rethrow_exception(failure);
}

} // namespace kumquathaven::testing

#endif // KUMQUATHAVEN_UNITTESTS_COMMON_FOREACHSEED_H
