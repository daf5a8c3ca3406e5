// Runs thousands of seeded random schedules of simulated groups. KUMQUATHAVEN_SCHEDULES sets the
// number of schedules and KUMQUATHAVEN_SEED the first seed.

#include "cluster.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <future>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t defaultSchedules = 300;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
constexpr std::uint64_t defaultSchedules = 300;
#else
constexpr std::uint64_t defaultSchedules = 10000;
#endif
#else
constexpr std::uint64_t defaultSchedules = 10000;
#endif

std::uint64_t fromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

/// Number of threads that run schedules. The schedules are independent of each other.
constexpr std::uint64_t workerCount = 4;

/// Coverage and the first violation of the schedules that one worker ran.
struct WorkerResult
{
    Coverage coverage;
    /// The violation and the seed of its schedule; empty if there is none.
    std::string violation;
};

/// Runs every workerCount-th of \p count schedules, starting with the seed \p first + \p worker.
/// Stops at the first violation.
WorkerResult runSchedules(std::uint64_t first, std::uint64_t count, std::uint64_t worker,
                          bool hasAutomaticMembership)
{
    WorkerResult result;
    for (std::uint64_t seed = first + worker; seed < first + count; seed += workerCount) {
        Cluster cluster(seed, hasAutomaticMembership);
        const std::string violation = cluster.run();
        result.coverage.add(cluster.coverage());
        if (violation.empty())
            continue;
        result.violation = "seed " + std::to_string(seed) + ": " + violation;
        break;
    }
    return result;
}

Coverage checkSchedules(bool hasAutomaticMembership)
{
    const std::uint64_t count = fromEnvironment("KUMQUATHAVEN_SCHEDULES", defaultSchedules);
    const std::uint64_t first = fromEnvironment("KUMQUATHAVEN_SEED", 1);
    std::vector<std::future<WorkerResult>> workers;
    for (std::uint64_t n = 0; n < workerCount; ++n)
        workers.push_back(
            std::async(std::launch::async, runSchedules, first, count, n, hasAutomaticMembership));
    Coverage coverage;
    for (auto &it : workers) {
        const WorkerResult result = it.get();
        coverage.add(result.coverage);
        CHECK_MESSAGE(result.violation.empty(), result.violation);
    }
    return coverage;
}

} // namespace

TEST_CASE("interleavings with automatic membership lose no change and recover every member")
{
    const Coverage coverage = checkSchedules(true);
    CHECK(coverage.membershipSteps > 0);
    CHECK(coverage.lostDisks > 0);
}

TEST_CASE("interleavings keep the invariants and are linearizable")
{
    const std::uint64_t count = fromEnvironment("KUMQUATHAVEN_SCHEDULES", defaultSchedules);
    const Coverage coverage = checkSchedules(false);
    MESSAGE(count << " schedules: " << coverage.leaders << " leaders, " << coverage.writes
                  << " writes, " << coverage.unknownWrites << " unknown, " << coverage.reads
                  << " quorum or queued reads, " << coverage.leaseReads << " lease reads, "
                  << coverage.powerCuts << " power cuts, " << coverage.kills << " kills, "
                  << coverage.lostDisks << " lost disks, " << coverage.freezes << " freezes, "
                  << coverage.networkPartitions << " network partitions, "
                  << coverage.storageFailures << " storage failures, " << coverage.transfers
                  << " transfers, " << coverage.membershipSteps << " membership steps, "
                  << coverage.restores << " snapshot restores, " << coverage.takenSnapshots
                  << " snapshots taken");
    if (count < 100)
        return;
    for (const std::uint64_t it :
         {coverage.leaders, coverage.writes, coverage.reads, coverage.leaseReads,
          coverage.unknownWrites, coverage.powerCuts, coverage.kills, coverage.lostDisks,
          coverage.freezes, coverage.networkPartitions, coverage.storageFailures,
          coverage.transfers, coverage.membershipSteps, coverage.restores, coverage.takenSnapshots})
        CHECK(it >= count / 20);
}
