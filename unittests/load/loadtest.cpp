#include "accounting.h"
#include "arrivals.h"
#include "entrylist.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace kumquathaven;
using namespace kumquathaven::load;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

LoadShape nestedShape()
{
    LoadShape shape;
    shape.seed = 7;
    shape.ratePerSecond = 40;
    shape.customers = 2;
    shape.shares = {3, 1};
    shape.documents = 10;
    shape.conversationBlocks = 2;
    shape.conversations = 3;
    shape.ownBytes = 10;
    shape.mostOwnBytes = 50;
    return shape;
}

std::size_t commonBytes(const std::string &a, const std::string &b)
{
    const auto length = static_cast<std::ptrdiff_t>(std::min(a.size(), b.size()));
    return static_cast<std::size_t>(std::mismatch(a.begin(), a.begin() + length, b.begin()).first
                                    - a.begin());
}

CallResult wholeResult(std::size_t number, Duration due, Duration firstToken, std::uint64_t cached)
{
    CallResult result;
    result.number = number;
    result.due = due;
    result.firstToken = firstToken;
    result.result = "whole";
    result.cachedTokens = cached;
    result.attempts = {{due, "whole"}};
    return result;
}

} // namespace

TEST_CASE("arrivals nest by levels, follow the shares and are the same for the same seed")
{
    const LoadShape shape = nestedShape();
    const auto arrivals = makeArrivals(shape);
    const auto again = makeArrivals(shape);
    REQUIRE(arrivals.size() == again.size());
    REQUIRE(arrivals.size() > 300);
    std::size_t first = 0;
    std::set<std::uint64_t> documents;
    for (std::size_t n = 0; n < arrivals.size(); ++n) {
        CHECK(arrivals[n].at == again[n].at);
        REQUIRE(arrivals[n].prompt.size() == 4);
        CHECK(arrivals[n].prompt[3].number == again[n].prompt[3].number);
        CHECK(arrivals[n].prompt[3].bytes >= 10);
        CHECK(arrivals[n].prompt[3].bytes <= 50);
        first += arrivals[n].customer == 0 ? 1 : 0;
        documents.insert(arrivals[n].prompt[1].number);
    }
    CHECK(documents.size() <= 20);
    const double share = static_cast<double>(first) / static_cast<double>(arrivals.size());
    CHECK(share == doctest::Approx(0.75).epsilon(0.1));
    for (std::size_t n = 1; n < 50; ++n) {
        std::size_t expected = 0;
        for (std::size_t level = 0; level < 3; ++level) {
            if (arrivals[n].prompt[level].number != arrivals[0].prompt[level].number)
                break;
            expected += arrivals[n].prompt[level].bytes;
        }
        const std::size_t common = commonBytes(promptText(arrivals[0]), promptText(arrivals[n]));
        // Different pieces may begin with the same digits.
        CHECK(common >= expected);
        CHECK(common < expected + 20);
    }
}

TEST_CASE("a storm adds retries in its time and changes no other arrival")
{
    LoadShape shape = nestedShape();
    const auto calm = makeArrivals(shape);
    shape.storm = {100, seconds(4), seconds(6), 2000};
    auto stormy = makeArrivals(shape);
    CHECK(std::is_sorted(stormy.begin(), stormy.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    }));
    const auto isStorm = [](const Arrival &it) {
        return it.isStorm;
    };
    for (const Arrival &it : stormy)
        CHECK((!it.isStorm || (it.at >= seconds(4) && it.at < seconds(6))));
    CHECK(std::count_if(stormy.begin(), stormy.end(), isStorm) > 150);
    stormy.erase(std::remove_if(stormy.begin(), stormy.end(), isStorm), stormy.end());
    REQUIRE(stormy.size() == calm.size());
    for (std::size_t n = 0; n < calm.size(); ++n)
        CHECK(stormy[n].prompt.back().number == calm[n].prompt.back().number);
}

TEST_CASE("the exact bucket starts full, refills, and refuses what is beyond it")
{
    const std::vector<Spending> spendings{{Duration(0), 80},
                                          {Duration(0), 40},
                                          {seconds(3), 40},
                                          {seconds(60), 100},
                                          {seconds(60), 1}};
    const BucketAnswer answer = askExactBucket({10, 100}, spendings);
    CHECK(answer.grantedTokens == 80 + 40 + 100);
    CHECK(answer.refusals == 2);
    CHECK(askExactBucket({}, spendings).grantedTokens == 261);
}

TEST_CASE("only prefixes that were computed before count as computed again")
{
    const std::vector<Piece> shared{{1, 400}, {2, 400}};
    const auto prompt = [&](std::uint64_t own) {
        std::vector<Piece> pieces = shared;
        pieces.push_back({own, 40});
        return pieces;
    };
    const std::vector<Arrival> arrivals{{seconds(0), 0, prompt(10), false},
                                        {seconds(1), 0, prompt(11), false},
                                        {seconds(2), 0, prompt(12), false},
                                        {seconds(2), 1, prompt(13), false}};
    // The first token of the first is out after the second was sent.
    const std::vector<CallResult> results{wholeResult(0, seconds(0), milliseconds(1500), 0),
                                          wholeResult(1, seconds(1), milliseconds(10), 0),
                                          wholeResult(2, seconds(2), milliseconds(10), 80)};
    CHECK(recomputedTokens(arrivals, results, Duration(0)) == 120);
    auto other = results;
    // Another customer's prefix is not the same, whatever its text.
    other.push_back(wholeResult(3, seconds(2), milliseconds(10), 0));
    CHECK(recomputedTokens(arrivals, other, Duration(0)) == 120);
    CHECK(recomputedTokens(arrivals, other, seconds(3)) == 0);
}

TEST_CASE("named entries are read whole or not at all, and picked by weight")
{
    const auto named = readEntries(R"({"entries": [{"address": "127.0.0.1:81", "weight": 30},
        {"address": "127.0.0.1:82", "weight": 10}], "ttlSeconds": 1.5})");
    REQUIRE(named);
    CHECK(named->ttl == milliseconds(1500));
    CHECK(pickByWeight(named->entries, 0.0).port == 81);
    CHECK(pickByWeight(named->entries, 0.74).port == 81);
    CHECK(pickByWeight(named->entries, 0.76).port == 82);
    CHECK(pickByWeight(named->entries, 1.0).port == 82);
    const std::vector<std::string> bad{
        "",
        "[]",
        "{",
        R"({"entries": [], "ttlSeconds": 1})",
        R"({"entries": [{"address": "127.0.0.1:81"}]})",
        R"({"entries": [{"address": "10.0.0.1:81"}], "ttlSeconds": 1})",
        R"({"entries": [{"address": "127.0.0.1"}], "ttlSeconds": 1})"};
    for (const std::string &it : bad) {
        CAPTURE(it);
        CHECK(!readEntries(it));
    }
}
