// Tests of homes, holders and fetched answers.

#include "kumquathaven/answers/directory.h"
#include "kumquathaven/answers/fetchedanswer.h"
#include "kumquathaven/base/random.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kumquathaven;
using namespace kumquathaven::answers;

namespace {

TimePoint atSecond(int seconds)
{
    return TimePoint{} + std::chrono::hours(1) + std::chrono::seconds(seconds);
}

AnswerPart part(std::uint64_t sequence, PartKind kind, std::vector<std::string> chunks)
{
    AnswerPart it;
    it.sequence = sequence;
    it.kind = kind;
    it.chunks = std::move(chunks);
    return it;
}

FetchedAnswer fetchFrom(const std::string &holder)
{
    FetchedAnswer answer;
    answer.holder = holder;
    answer.lastReceivedAt = atSecond(0);
    return answer;
}

} // namespace

TEST_CASE("work moves to another home only when its home departs, and homes are spread evenly")
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    std::map<std::string, int> counts;
    for (int n = 0; n < 400; ++n) {
        const WorkKey key{"customer", workOfKey(std::to_string(n))};
        const std::string home = homeOf(all, key, {});
        ++counts[home];
        for (const std::string &it : all) {
            std::vector<std::string> others = all;
            others.erase(std::find(others.begin(), others.end(), it));
            CHECK((homeOf(others, key, {}) == home) == (it != home));
            CHECK(homeOf(all, key, {it}) == homeOf(others, key, {}));
        }
    }
    for (const std::string &it : all)
        CHECK(counts[it] > 60);
    CHECK(homeOf(all, {"c", "w"}, {"a", "b", "c", "d"}).empty());
    CHECK(homeOf({}, {"c", "w"}, {}).empty());
}

TEST_CASE("work has one holder until the record expires or another instance replaces the holder")
{
    Directory home;
    const WorkKey key{"rounds", "w"};
    CHECK(claim(home, key, "a", "", atSecond(0)).empty());
    CHECK(claim(home, key, "b", "", atSecond(1)) == "a");
    CHECK(claim(home, key, "a", "", atSecond(1)).empty());
    CHECK(claim(home, {"tills", "w"}, "b", "", atSecond(1)).empty());
    CHECK(claim(home, key, "b", "a", atSecond(2)).empty());
    CHECK(claim(home, key, "c", "a", atSecond(2)) == "b");
    CHECK(claim(home, key, "c", "", atSecond(2 + 1200)).empty());
    CHECK(home.count == 2);
    expire(home, atSecond(1 + 1200));
    CHECK(home.count == 1);
    expire(home, atSecond(2 + 2400));
    CHECK(home.customers.empty());
}

TEST_CASE("a directory stays within its limit, and a flood evicts only records of its own customer")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        Directory home;
        home.limits.maxRecords = 50;
        for (int n = 0; n < 10; ++n)
            claim(home, {"modest", std::to_string(n)}, "a", "", atSecond(0));
        for (int n = 0; n < 2000; ++n) {
            const std::string work = std::to_string(random.below(300));
            const std::string claimant = random.below(2) == 0 ? "a" : "b";
            claim(home, {"flood", work}, claimant, random.below(2) == 0 ? "a" : "",
                  atSecond(n / 100));
            if (random.below(50) == 0)
                expire(home, atSecond(n / 100));
        }
        CHECK(home.count <= 50);
        CHECK(home.customers.at("flood").order.size() <= 2 * 40 + 17);
        for (int n = 0; n < 10; ++n)
            CHECK(claim(home, {"modest", std::to_string(n)}, "b", "", atSecond(30)) == "a");
    }
}

TEST_CASE("other instances may read only kept answers and answers that this instance runs itself")
{
    AnswerStore store;
    const WorkKey key{"a", workOfKey("k")};
    const auto offered = [&](const WorkKey &requestedKey, const std::string &body) {
        return offerOf(store, find(store, requestedKey, body, atSecond(0)));
    };
    CHECK(offered(key, "f") == Offer::Nothing);
    const AnswerId id = begin(store, key, "f");
    CHECK(offered(key, "f") == Offer::Undecided);
    setSource(store, id, AnswerSource::OtherInstance);
    CHECK(offered(key, "f") == Offer::Nothing);
    setSource(store, id, AnswerSource::OwnRun);
    CHECK(offered(key, "f") == Offer::Answer);
    CHECK(offered(key, "g") == Offer::OtherBody);
    CHECK(offered({"b", key.work}, "f") == Offer::Nothing);
    setSource(store, id, AnswerSource::OtherInstance);
    complete(store, id, atSecond(0));
    CHECK(offered(key, "f") == Offer::Answer);
}

TEST_CASE("a fetched answer is complete and in order, or it fails")
{
    FetchedAnswer answer = fetchFrom("a");
    handlePart(answer, "a", part(0, PartKind::Running, {"x"}), atSecond(0));
    handlePart(answer, "b", part(1, PartKind::Complete, {"another's"}), atSecond(0));
    CHECK(readFetched(answer, atSecond(0)).chunks == std::vector<std::string>{"x"});
    handlePart(answer, "a", part(1, PartKind::Complete, {"y", "z"}), atSecond(0));
    handlePart(answer, "a", part(2, PartKind::Complete, {"late"}), atSecond(0));
    ReadResult result = readFetched(answer, atSecond(9));
    CHECK(result.chunks == std::vector<std::string>{"y", "z"});
    CHECK(result.state == AnswerState::Complete);

    FetchedAnswer gap = fetchFrom("a");
    handlePart(gap, "a", part(0, PartKind::Running, {"x"}), atSecond(0));
    handlePart(gap, "a", part(2, PartKind::Complete, {"z"}), atSecond(0));
    result = readFetched(gap, atSecond(0));
    CHECK(result.state == AnswerState::Failed);
    CHECK(result.chunks == std::vector<std::string>{"x"});

    FetchedAnswer silent = fetchFrom("a");
    handlePart(silent, "a", part(0, PartKind::Running, {}), atSecond(1));
    CHECK(readFetched(silent, atSecond(2)).state == AnswerState::Running);
    CHECK(readFetched(silent, atSecond(3)).state == AnswerState::Failed);

    FetchedAnswer large = fetchFrom("a");
    large.limits.maxBufferedBytes = 3;
    handlePart(large, "a", part(0, PartKind::Running, {"abc"}), atSecond(0));
    handlePart(large, "a", part(1, PartKind::Running, {"d"}), atSecond(0));
    CHECK(readFetched(large, atSecond(0)).state == AnswerState::Failed);
}

TEST_CASE("messages about answers round-trip, and damaged bytes are refused or decode consistently")
{
    AnswerPart partWithHead = part(7, PartKind::Running, {std::string("\0\xff", 2), ""});
    partWithHead.number = 8;
    partWithHead.head = AnswerHead{200, "text/event-stream", {{"x-request-id", "r"}}};
    const std::vector<FleetMessage> messages = {Claim{1, {"c", "w"}, "a"},
                                                ClaimAnswer{2, ""},
                                                Fetch{3, {"c", "w"}, "f"},
                                                FetchEnd{4},
                                                partWithHead,
                                                part(0, PartKind::Absent, {})};
    const auto reencode = [](const std::string &bytes) {
        return orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(message, decodeMessage(bytes, "peer"));
                return encodeMessage(message);
            },
            [](const Error &error) {
                CHECK(error.peer == "peer");
                return std::string("refused");
            });
    };
    for (const FleetMessage &it : messages) {
        const std::string bytes = encodeMessage(it);
        CHECK(reencode(bytes) == bytes);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CHECK(reencode(bytes.substr(0, n)) == "refused");
            std::string damaged = bytes;
            damaged[n] = static_cast<char>(damaged[n] ^ 0x40);
            const std::string read = reencode(damaged);
            CHECK((read == "refused" || reencode(read) == read));
        }
    }
}
