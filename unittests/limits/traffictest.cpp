// Tests of the number and size of the limits' messages per request at the design size.

#include "common/foreachseed.h"
#include "fleet.h"

#include <doctest/doctest.h>

using namespace kumquathaven;
using namespace kumquathaven::limits;
using kumquathaven::testing::forEachSeed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string bucket = "customer/steady";
const std::map<std::string, BucketLimits> customer = {{bucket, {30000, 120000}}};

/// Requests per second and entry: 97,000 requests a second over 3,500 entries.
constexpr double requestsPerEntry = 97000.0 / 3500;
/// Half of an entry's budget for control traffic, in bytes per second. The feed and its relays need
/// the other half.
constexpr double bytesPerEntry = 4096.0 / 2;

/// Schedules requests to one entry at equal intervals. Returns their number.
std::uint64_t sendEvenly(Fleet &fleet, std::size_t entry, double perSecond, Duration length)
{
    const TimePoint begin = fleet.now();
    const auto count = static_cast<std::uint64_t>(perSecond * toSeconds(length));
    for (std::uint64_t i = 0; i < count; ++i) {
        fleet.at(begin + fromSeconds(static_cast<double>(i) / perSecond), [&fleet, entry] {
            fleet.request(entry, bucket, {100, 100}, 150, milliseconds(500));
        });
    }
    return count;
}

} // namespace

TEST_CASE("An entry's traffic from few customers costs less than half of control's budget")
{
    forEachSeed(5, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 8, customer, Config{});
        fleet.run(fleet.now() + seconds(20));
        fleet.countsBytes = true;
        std::uint64_t requests = 0;
        // One customer's requests go to five entries that serve no other customer.
        for (std::size_t entry = 0; entry < 5; ++entry)
            requests += sendEvenly(fleet, entry, requestsPerEntry, seconds(20));
        fleet.run(fleet.now() + seconds(30));
        const double bytesPerRequest =
            static_cast<double>(fleet.bytes) / static_cast<double>(requests);
        MESSAGE("steady: " << bytesPerRequest << " bytes a request");
        CHECK(bytesPerRequest * requestsPerEntry < bytesPerEntry);
        CHECK(fleet.tallies[bucket].refused == 0);
        CHECK(fleet.tallies[bucket].admitted == requests);
    });
}

TEST_CASE("A lone request costs little more than its grant and its report")
{
    forEachSeed(5, [](std::uint64_t seed) {
        CAPTURE(seed);
        Fleet fleet(seed, 8, customer, Config{});
        fleet.run(fleet.now() + seconds(20));
        const std::uint64_t before = fleet.messages;
        for (std::size_t entry = 0; entry < 8; ++entry) {
            sendEvenly(fleet, entry, 1, seconds(1));
            fleet.run(fleet.now() + seconds(15));
        }
        const std::uint64_t messages = fleet.messages - before;
        MESSAGE("lone: " << static_cast<double>(messages) / 8 << " messages");
        // A request needs two round trips to open the session, the debit on two standbys, and the
        // report. A request at the home itself needs the debit only. Twice that number leaves room
        // for renewals while the request runs.
        CHECK(messages <= 8 * 2 * 10);
    });
}
