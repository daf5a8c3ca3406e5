// Tests of the linearizability checker on histories with a known verdict.

#include "linearizability.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <string>

using namespace kumquathaven;
using namespace kumquathaven::consensus;

namespace {

// The plain names are those of functions of the C library, which the test framework includes on
// some architectures.
constexpr auto reading = OperationKind::Read;
constexpr auto writing = OperationKind::Write;
constexpr auto conditional = OperationKind::ConditionalWrite;
constexpr std::optional<std::uint64_t> unknown;

struct Row
{
    std::string name;
    std::vector<Operation> history;
    bool verdict;
};

const std::vector<Row> rows{
    {"empty", {}, true},
    {"read of the initial value", {{reading, 0, 0, 1, 2}}, true},
    {"read of a value nobody wrote", {{reading, 0, 7, 1, 2}}, false},
    {"read after a write", {{writing, 0, 1, 1, 2}, {reading, 0, 1, 3, 4}}, true},
    {"stale read after a write", {{writing, 0, 1, 1, 2}, {reading, 0, 0, 3, 4}}, false},
    {"read during a write, old value", {{writing, 0, 1, 1, 4}, {reading, 0, 0, 2, 3}}, true},
    {"read during a write, new value", {{writing, 0, 1, 1, 4}, {reading, 0, 1, 2, 3}}, true},
    {"reads that go back during a write",
     {{writing, 0, 1, 1, 8}, {reading, 0, 1, 2, 3}, {reading, 0, 0, 4, 5}},
     false},
    {"lost write", {{writing, 0, 1, 1, 2}, {writing, 0, 2, 3, 4}, {reading, 0, 1, 5, 6}}, false},
    {"concurrent writes in either order",
     {{writing, 0, 1, 1, 4}, {writing, 0, 2, 2, 3}, {reading, 0, 1, 5, 6}},
     true},
    {"two readers that see concurrent writes in different orders",
     {{writing, 0, 1, 1, 4}, {writing, 0, 2, 2, 3}, {reading, 0, 1, 5, 6}, {reading, 0, 2, 7, 8}},
     false},
    {"both of two racing conditional writes succeed",
     {{conditional, 0, 1, 1, 4, true}, {conditional, 0, 2, 2, 3, true}},
     false},
    {"one of two racing conditional writes succeeds",
     {{conditional, 0, 1, 1, 4, false}, {conditional, 0, 2, 2, 3, true}},
     true},
    {"none of two racing conditional writes succeeds",
     {{conditional, 0, 1, 1, 4, false}, {conditional, 0, 2, 2, 3, false}},
     false},
    {"unknown write that took place late",
     {{writing, 0, 1, 1, unknown}, {reading, 0, 0, 2, 3}, {reading, 0, 1, 4, 5}},
     true},
    {"unknown write that took place and was undone",
     {{writing, 0, 1, 1, unknown}, {reading, 0, 1, 2, 3}, {reading, 0, 0, 4, 5}},
     false},
    {"unknown write that is read before its call",
     {{reading, 0, 1, 1, 2}, {writing, 0, 1, 3, unknown}},
     false},
    {"unknown conditional write that did not fit",
     {{conditional, 5, 1, 1, unknown}, {reading, 0, 1, 2, 3}},
     false},
    {"unknown conditional write that fits after another write",
     {{conditional, 5, 1, 1, unknown}, {writing, 0, 5, 2, 3}, {reading, 0, 1, 4, 5}},
     true},
};

/// Returns a random linearizable history of overlapping operations on one register.
std::vector<Operation> linearizableHistory(Random &random)
{
    std::vector<Operation> history;
    std::int64_t value = 0;
    for (std::uint64_t n = 0; n < 24; ++n) {
        const std::uint64_t at = 100 * (n + 1);
        Operation it;
        it.kind = static_cast<OperationKind>(random.below(3));
        it.calledAt = at - random.below(180) % at;
        it.returnedAt = at + random.below(180);
        if (it.kind == reading) {
            it.value = value;
        } else {
            it.value = static_cast<std::int64_t>(n + 1);
            it.expected = random.below(2) == 0 ? value : -1;
            it.succeeded = it.kind == writing || it.expected == value;
            value = it.succeeded ? it.value : value;
            if (random.below(5) == 0)
                it.returnedAt.reset();
        }
        history.push_back(it);
    }
    return history;
}

} // namespace

TEST_CASE("the linearizability check gives the known verdicts")
{
    for (const Row &it : rows) {
        CAPTURE(it.name);
        CHECK(isLinearizable(it.history, 0) == it.verdict);
    }
}

TEST_CASE("the linearizability check accepts valid histories and rejects stale reads in them")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        std::vector<Operation> history = linearizableHistory(random);
        REQUIRE(isLinearizable(history, 0));
        // Appends a read that returns a value overwritten before the read was called.
        std::vector<Operation> stale = history;
        stale.push_back({writing, 0, 1000, 5000, 5001});
        stale.push_back({writing, 0, 1001, 5002, 5003});
        stale.push_back({reading, 0, 1000, 5004, 5005});
        REQUIRE_FALSE(isLinearizable(stale, 0));
    }
}
