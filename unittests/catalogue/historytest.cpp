// Tests the state machine with randomly generated histories of changes.

#include "samples.h"

#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::catalogue;

namespace {

constexpr std::uint64_t histories = 120;
constexpr int changesPerHistory = 120;

std::string pick(Random &random, const char *prefix)
{
    return prefix + std::to_string(random.below(4));
}

ChangeBody randomBody(Random &random)
{
    switch (random.below(8)) {
    case 0:
    case 1: {
        PutEntries put;
        const std::string name = pick(random, "c");
        put.entries.customers[name] = sampleCustomer(name, 1 + random.below(9));
        put.replace = random.below(10) == 0;
        return put;
    }
    case 2: {
        PutEntries put;
        const std::string name = pick(random, "r");
        put.entries.routes[name] = sampleRoute(name, pick(random, "m"));
        return put;
    }
    case 3:
        return RemoveEntry{static_cast<EntryKind>(random.below(4)), pick(random, "c")};
    case 4:
        return GrantKey{sampleKey(pick(random, "k"), pick(random, "c"),
                                  static_cast<char>('0' + random.below(10)))};
    case 5:
        return WithdrawKey{pick(random, "k"), random.below(2) == 0};
    case 6:
        return AnnounceInstance{sampleInstance(pick(random, "e"), random.below(3))};
    default:
        return DepartInstance{pick(random, "e"), random.below(3)};
    }
}

State copyOf(const State &state)
{
    return orElse(
        [&] {
            return decodeState(encodeState(state), "test");
        },
        [](const Error &error) {
            FAIL(describe(error));
            return State();
        });
}

bool isSame(const Answer &a, const Answer &b)
{
    return a.accepted == b.accepted && a.code == b.code && a.message == b.message
        && a.revision == b.revision && a.epoch == b.epoch;
}

void checkStep(const State &before, const State &after, const Answer &answer)
{
    const auto revisionStep = after.catalogue.revision - before.catalogue.revision;
    const auto epochStep = after.instances.epoch - before.instances.epoch;
    CHECK(revisionStep + epochStep <= 1);
    CHECK(answer.revision == after.catalogue.revision);
    CHECK(answer.epoch == after.instances.epoch);
    if (!answer.accepted)
        CHECK(revisionStep + epochStep == 0);
    for (const auto &it : before.catalogue.keys) {
        const auto present = after.catalogue.keys.find(it.first);
        if (it.second.withdrawn && present != after.catalogue.keys.end())
            CHECK(present->second.withdrawn);
    }
}

} // namespace

TEST_CASE("generated histories: one step each, first answers, and equal states on every member")
{
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        State state;
        State restarted;
        std::vector<std::pair<Change, Answer>> sent;
        for (int n = 0; n < changesPerHistory; ++n) {
            Change change;
            const bool isResent = !sent.empty() && random.below(5) == 0;
            const std::size_t earlier = isResent ? random.below(sent.size()) : 0;
            if (isResent) {
                change = sent[earlier].first;
            } else {
                change.changeId = "id-" + std::to_string(n);
                change.body = randomBody(random);
                if (random.below(4) == 0)
                    change.expectedRevision = state.catalogue.revision - random.below(2);
            }
            const State before = state;
            const Answer answer = apply(state, change);
            if (isResent) {
                CHECK(isSame(answer, sent[earlier].second));
                CHECK(encodeState(state) == encodeState(before));
            } else {
                checkStep(before, state, answer);
                sent.emplace_back(change, answer);
            }
            // Another member applies the same changes, and is occasionally restored from a
            // snapshot.
            CHECK(isSame(apply(restarted, change), answer));
            if (random.below(16) == 0)
                restarted = copyOf(restarted);
        }
        CHECK(encodeState(restarted) == encodeState(state));
    }
}
