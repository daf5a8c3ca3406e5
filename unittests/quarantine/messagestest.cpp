#include "kumquathaven/quarantine/messages.h"

#include "kumquathaven/wire/cbor.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::quarantine;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint now{seconds(10'000)};
constexpr std::uint64_t wallNow = 1'700'000'000'000;

std::optional<QuarantineNews> decode(const std::string &bytes)
{
    return orElse(
        [&]() -> Result<std::optional<QuarantineNews>> {
            BOOST_LEAF_AUTO(news, decodeNews(bytes, "peer", now, wallNow));
            return std::make_optional(std::move(news));
        },
        [](const Error &error) -> std::optional<QuarantineNews> {
            CHECK(error.code == ErrorCode::InvalidRequest);
            CHECK(error.peer == "peer");
            return std::nullopt;
        });
}

} // namespace

TEST_CASE("news survive encoding and decoding")
{
    QuarantineNews news;
    const std::string request = requestName({});
    news.crashes = {{"lm-1@7", {{"aa", 0}, {"bad", 1}, {request, 2}}}};
    news.answered = {{"aa", seconds(3)}};
    news.verdicts = {{"bad", {4, true, 5, now - minutes(2), now + minutes(8)}}};
    const auto read = decode(encodeNews(news, now, wallNow));
    REQUIRE(read);
    REQUIRE(read->crashes.size() == 1);
    CHECK(read->crashes[0].start == "lm-1@7");
    REQUIRE(read->crashes[0].suspects.size() == 3);
    CHECK(read->crashes[0].suspects[2].subject == request);
    CHECK(read->crashes[0].suspects[1].subject == "bad");
    CHECK(read->crashes[0].suspects[1].position == 1);
    REQUIRE(read->answered.size() == 1);
    CHECK(read->answered[0].age == seconds(3));
    REQUIRE(read->verdicts.size() == 1);
    const Verdict &verdict = read->verdicts[0].verdict;
    CHECK(verdict.generation == 4);
    CHECK(verdict.isLifted);
    CHECK(verdict.crashes == 5);
    CHECK(verdict.decidedAt == now - minutes(2));
    CHECK(verdict.expiresAt == now + minutes(8));
}

TEST_CASE("malformed news are refused")
{
    using nlohmann::json;
    const std::vector<json> rows = {
        json::array(),
        json::array({1, 2, 3}),
        json::array({{{"start"}}, json::array(), json::array()}),
        json::array({{{"start", {{"part", -1}}}}, json::array(), json::array()}),
        json::array({{{"start", {{std::string(1'000, 'a'), 1}}}}, json::array(), json::array()}),
        json::array({json::array(), {{"part"}}, json::array()}),
        json::array({json::array(), json::array(), {{wire::binary("x"), 1, 1}}}),
    };
    for (const json &it : rows) {
        CAPTURE(it.dump());
        CHECK_FALSE(decode(wire::toCbor(it)));
    }
    CHECK_FALSE(decode("no cbor"));
}

TEST_CASE("operators see subjects with their kind, evidence and age")
{
    Evidence evidence;
    for (int n = 0; n < 3; ++n)
        recordCrash(evidence, std::to_string(n), {{"bad", 1}}, now + seconds(n));
    judge(evidence, now + seconds(4));
    recordCrash(evidence, "other", {{"request:suspect", 0}}, now + seconds(5));
    const auto text = nlohmann::json::parse(describeEvidence(evidence, now + seconds(14)));
    REQUIRE(text["verdicts"].size() == 1);
    CHECK(text["verdicts"][0]["subject"] == "bad");
    CHECK(text["verdicts"][0]["kind"] == "part");
    CHECK(text["verdicts"][0]["crashes"] == 3);
    CHECK(text["verdicts"][0]["inForce"] == true);
    CHECK(text["verdicts"][0]["ageSeconds"] == 10.0);
    REQUIRE(text["suspects"].size() == 1);
    CHECK(text["suspects"][0]["subject"] == "request:suspect");
    CHECK(text["suspects"][0]["kind"] == "request");
}

// Guards against a version that cannot read what the one before sends, or sends what that refuses.
TEST_CASE("the state of trials travels with the number of crashes")
{
    for (const std::uint32_t failed : {0U, 1U, 7U}) {
        for (const bool isProven : {false, true}) {
            SubjectVerdict verdict;
            verdict.subject = "bad";
            verdict.verdict.crashes = 5;
            verdict.verdict.failedTrials = failed;
            verdict.verdict.isProven = isProven;
            verdict.verdict.decidedAt = now;
            const std::string bytes = encodeVerdict(verdict, now, 1'000'000);
            const auto value = nlohmann::json::from_cbor(bytes);
            CHECK(value.size() == 4);
            CHECK(value[2].get<std::uint32_t>() <= 1'000'000);
            const auto read = orElse(
                [&] {
                    return decodeVerdict(bytes, "peer", now, 1'000'000);
                },
                [](const Error &) {
                    return SubjectVerdict();
                });
            CHECK(read.verdict.crashes == 5);
            CHECK(read.verdict.failedTrials == failed);
            CHECK(read.verdict.isProven == isProven);
        }
    }
}
