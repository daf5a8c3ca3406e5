// Thousands of seeded schedules of whole groups. KUMQUATHAVEN_SCHEDULES sets their number and
// KUMQUATHAVEN_SEED the first seed.

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

/// Schedules run at the same time; each is independent of the others.
constexpr std::uint64_t workerCount = 4;

/// What the schedules of one worker showed.
struct Findings
{
    Coverage coverage;
    /// The first violation with its seed; empty if there is none.
    std::string violation;
};

/// Runs every schedule whose seed leaves \p worker as remainder.
Findings runSchedules(std::uint64_t first, std::uint64_t count, std::uint64_t worker,
                      bool hasAutomaticMembership)
{
    Findings findings;
    for (std::uint64_t seed = first + worker; seed < first + count; seed += workerCount) {
        Cluster cluster(seed, hasAutomaticMembership);
        const std::string violation = cluster.run();
        findings.coverage.add(cluster.coverage());
        if (violation.empty())
            continue;
        findings.violation = "seed " + std::to_string(seed) + ": " + violation;
        break;
    }
    return findings;
}

Coverage checkSchedules(bool hasAutomaticMembership)
{
    const std::uint64_t count = fromEnvironment("KUMQUATHAVEN_SCHEDULES", defaultSchedules);
    const std::uint64_t first = fromEnvironment("KUMQUATHAVEN_SEED", 1);
    std::vector<std::future<Findings>> workers;
    for (std::uint64_t n = 0; n < workerCount; ++n)
        workers.push_back(
            std::async(std::launch::async, runSchedules, first, count, n, hasAutomaticMembership));
    Coverage coverage;
    for (auto &it : workers) {
        const Findings findings = it.get();
        coverage.add(findings.coverage);
        CHECK_MESSAGE(findings.violation.empty(), findings.violation);
    }
    return coverage;
}

} // namespace

TEST_CASE("interleavings of a group that governs itself lose nothing and bring every member back")
{
    const Coverage coverage = checkSchedules(true);
    CHECK(coverage.memberSteps > 0);
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
                  << coverage.cuts << " network cuts, " << coverage.storageFailures
                  << " storage failures, " << coverage.transfers << " transfers, "
                  << coverage.memberSteps << " member steps, " << coverage.restores
                  << " snapshot restores, " << coverage.takenSnapshots << " snapshots taken");
    if (count < 100)
        return;
    for (const std::uint64_t it :
         {coverage.leaders, coverage.writes, coverage.reads, coverage.leaseReads,
          coverage.unknownWrites, coverage.powerCuts, coverage.kills, coverage.lostDisks,
          coverage.freezes, coverage.cuts, coverage.storageFailures, coverage.transfers,
          coverage.memberSteps, coverage.restores, coverage.takenSnapshots})
        CHECK(it >= count / 20);
}
