// Rules by which parts of prompts are convicted, one by one.

#include "kumquathaven/quarantine/evidence.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint begin{seconds(1'000)};

std::vector<Suspect> suspects(const std::vector<std::string> &parts)
{
    std::vector<Suspect> out;
    out.reserve(parts.size());
    for (const std::string &it : parts)
        out.push_back({it, static_cast<std::uint32_t>(out.size())});
    return out;
}

/// Records crashes of different servers, each half a second after the one before. Returns the time
/// at which they are judged.
TimePoint crash(Evidence &evidence, std::size_t count, const std::vector<std::string> &parts,
                TimePoint from = begin)
{
    static int next = 0;
    for (std::size_t n = 0; n < count; ++n) {
        recordCrash(evidence, "s" + std::to_string(next++), suspects(parts), from);
        from += milliseconds(500);
    }
    return from;
}

using Parts = std::vector<std::string>;

} // namespace

TEST_CASE("a part is convicted by crashes at three moments, and requests with it are refused")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 2, {"bad"});
    CHECK(judge(evidence, now).empty());
    CHECK(admit(evidence, {"bad"}, now) == Admission::Allowed);
    now = crash(evidence, 1, {"bad"}, now);
    CHECK(judge(evidence, now - milliseconds(200)).empty());
    CHECK(admit(evidence, {"bad"}, now) == Admission::Pending);
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK(admit(evidence, {"other", "bad"}, now) == Admission::Refused);
    CHECK(admit(evidence, {"other"}, now) == Admission::Allowed);
}

TEST_CASE("a verdict that has to settle is not forgotten meanwhile")
{
    Evidence evidence;
    const TimePoint now = crash(evidence, 3, {"bad"});
    for (Duration waited(0); waited < milliseconds(400); waited += milliseconds(30))
        CHECK(judge(evidence, now - milliseconds(500) + waited).empty());
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK_FALSE(evidence.isReviewDue);
}

TEST_CASE("servers that are lost at one moment convict no part")
{
    Evidence evidence;
    for (int n = 0; n < 40; ++n)
        recordCrash(evidence, std::to_string(n), suspects({"sound"}), begin + milliseconds(3 * n));
    CHECK(judge(evidence, begin + seconds(2)).empty());
}

TEST_CASE("a burst convicts the part that its crashes have in common, and no other")
{
    Evidence evidence;
    for (int n = 0; n < 8; ++n)
        recordCrash(evidence, std::to_string(n), suspects({n % 2 == 0 ? "even" : "odd", "bad"}),
                    begin + milliseconds(30 * n));
    CHECK(judge(evidence, begin + seconds(1)) == Parts{"bad"});
}

TEST_CASE("reports of several instances of one crash count once")
{
    Evidence evidence;
    for (int n = 0; n < 5; ++n)
        recordCrash(evidence, "s", suspects({"sound"}), begin + milliseconds(400 * n));
    CHECK(crashCount(evidence, "sound") == 1);
    CHECK(judge(evidence, begin + seconds(5)).empty());
}

TEST_CASE("an answer clears a part of the crashes before it")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 2, {"sound"});
    SUBCASE("seen here")
    {
        CHECK(recordAnswer(evidence, {"sound"}, now) == Parts{"sound"});
        CHECK(recordAnswer(evidence, {"sound"}, now).empty());
    }
    SUBCASE("seen elsewhere")
    {
        recordAnswerElsewhere(evidence, "sound", now);
    }
    now = crash(evidence, 2, {"sound"}, now + milliseconds(1));
    CHECK(judge(evidence, now).empty());
}

TEST_CASE("a part that was answered before takes more crashes, and is told of")
{
    Evidence evidence;
    recordAnswer(evidence, {"old"}, begin - seconds(30));
    const std::vector<Suspect> reported = suspects({"old"});
    CHECK(recordCrash(evidence, "a", reported, begin).empty());
    CHECK(recordCrash(evidence, "b", reported, begin + seconds(1)) == Parts{"old"});
    TimePoint now = crash(evidence, 2, {"old"}, begin + seconds(2));
    CHECK(judge(evidence, now).empty());
    now = crash(evidence, 1, {"old"}, now);
    CHECK(judge(evidence, now) == Parts{"old"});
}

TEST_CASE("the parts of a request that was answered a moment ago are not reported")
{
    Evidence evidence;
    recordAnswer(evidence, {"system"}, begin);
    const auto reported = suspectsOf(evidence, {"system", "bad"}, begin + seconds(1));
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].subject == "bad");
    CHECK(reported[0].position == 1);
    CHECK(suspectsOf(evidence, {"system", "bad"}, begin + minutes(1)).size() == 2);
}

TEST_CASE("of parts that always occur together the later one is convicted first")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"common", "bad"});
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK(admit(evidence, {"common", "sound"}, now) == Admission::Allowed);
    SUBCASE("the earlier one is sound")
    {
        recordAnswer(evidence, {"common"}, now);
        now = crash(evidence, 2, {"common", "sound"}, now);
        CHECK(judge(evidence, now).empty());
    }
    SUBCASE("the earlier one is the cause")
    {
        now = crash(evidence, 1, {"common", "sound"}, now);
        CHECK(judge(evidence, now) == Parts{"common"});
    }
}

TEST_CASE("crashes that a convicted part explains count against no other")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 2, {"neighbour", "bad"});
    now = crash(evidence, 1, {"bad"}, now);
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK(crashCount(evidence, "neighbour") == 0);
    // A request that was under way as the part was convicted.
    recordCrash(evidence, "late", suspects({"bad"}), now);
    recordCrash(evidence, "late", suspects({"neighbour"}), now);
    CHECK(crashCount(evidence, "neighbour") == 0);
}

TEST_CASE("a verdict lasts while requests with the part come, and lapses after")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"bad"});
    judge(evidence, now);
    // A refusal makes it last as well.
    evidence.verdicts.at("bad").isProven = true;
    now += evidence.policy.verdictLifetime - seconds(1);
    CHECK(admit(evidence, {"bad"}, now) == Admission::Refused);
    now += evidence.policy.verdictLifetime - seconds(1);
    judge(evidence, now);
    REQUIRE(evidence.verdicts.count("bad") == 1);
    evidence.verdicts.at("bad").isProven = false;
    CHECK(admit(evidence, {"bad"}, now) == Admission::Trial);
    for (int n = 0; n < 50; ++n) {
        now += evidence.policy.verdictLifetime - seconds(1);
        judge(evidence, now);
        // A single one is let through as a trial, which nothing answers.
        REQUIRE(admit(evidence, {"bad"}, now) == Admission::Trial);
        REQUIRE(admit(evidence, {"bad"}, now) == Admission::Refused);
    }
    now += evidence.policy.verdictLifetime;
    judge(evidence, now);
    CHECK(admit(evidence, {"bad"}, now) == Admission::Allowed);
    CHECK(evidence.verdicts.empty());
}

TEST_CASE("an answer and an operator lift a verdict everywhere, and a new one is newer")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"bad"});
    judge(evidence, now);
    Evidence other;
    CHECK(applyVerdict(other, "bad", evidence.verdicts.at("bad")));
    CHECK_FALSE(applyVerdict(other, "bad", evidence.verdicts.at("bad")));
    CHECK(admit(other, {"bad"}, now) == Admission::Refused);
    const Verdict before = evidence.verdicts.at("bad");
    SUBCASE("an answer")
    {
        CHECK(recordAnswer(evidence, {"bad"}, now) == Parts{"bad"});
    }
    SUBCASE("an operator")
    {
        CHECK(lift(evidence, "bad", now));
        CHECK_FALSE(lift(evidence, "bad", now));
    }
    CHECK(applyVerdict(other, "bad", evidence.verdicts.at("bad")));
    CHECK(admit(other, {"bad"}, now) == Admission::Allowed);
    CHECK_FALSE(applyVerdict(other, "bad", before));
    CHECK(admit(other, {"bad"}, now) == Admission::Allowed);
    now = crash(evidence, 5, {"bad"}, now + milliseconds(1));
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK(applyVerdict(other, "bad", evidence.verdicts.at("bad")));
    CHECK(admit(other, {"bad"}, now) == Admission::Refused);
}

TEST_CASE("a request whose server crashed under an unanswered suspect is not sent on")
{
    Evidence evidence;
    CHECK(mayRetryAfterCrash(evidence, {"bad"}, begin));
    const TimePoint now = crash(evidence, 1, {"bad"});
    CHECK_FALSE(mayRetryAfterCrash(evidence, {"bad"}, now));
    recordAnswer(evidence, {"bad"}, now);
    CHECK(mayRetryAfterCrash(evidence, {"bad"}, now));
}

TEST_CASE("a flood of new subjects pushes no verdict out, and memory is bounded")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"bad", "request:bad"});
    judge(evidence, now);
    for (const std::string other : {"request:1", "request:2"})
        now = crash(evidence, 1, {"bad", other}, now);
    judge(evidence, now);
    REQUIRE(evidence.verdicts.size() == 2);
    for (int n = 0; n < 30'000; ++n) {
        const std::string part = "p" + std::to_string(n);
        const std::string request = "request:" + std::to_string(n);
        if (n % 10 == 0)
            recordCrash(evidence, "server " + part, suspects({part, request}), now);
        else
            recordAnswer(evidence, {part, request}, now);
        Verdict verdict{1, false, 3, now, now + minutes(5)};
        applyVerdict(evidence, n % 2 == 0 ? part : request, verdict);
        if (n % 100 == 0)
            recordAnswerElsewhere(evidence, request, now);
    }
    CHECK(admit(evidence, {"bad"}, now) == Admission::Refused);
    CHECK(admit(evidence, {"request:bad"}, now) == Admission::Refused);
    CHECK(evidence.crashes.size() <= evidence.policy.maxCrashes);
    for (const auto &kind : subjectKindNames) {
        const auto n = static_cast<std::size_t>(kind.first);
        const KindPolicy &policy = evidence.policy.kinds[n];
        const auto verdicts =
            std::count_if(evidence.verdicts.begin(), evidence.verdicts.end(), [&](const auto &it) {
                return kindOf(it.first) == kind.first;
            });
        CHECK(static_cast<std::size_t>(verdicts) == policy.maxVerdicts);
        const AnsweredSubjects &answered = evidence.answered[n];
        CHECK(answered.newer.size() + answered.older.size() <= policy.maxAnswered);
    }
    CHECK(evidence.crashesDropped > 0);
    CHECK(evidence.verdictsDropped > 0);
}

// Guards against a request that crashes server after server since its parts are in sound requests.
TEST_CASE("a request is convicted although its parts are answered in sound ones")
{
    Evidence evidence;
    TimePoint now = begin;
    for (int n = 0; n < 3; ++n) {
        recordAnswer(evidence, {"common", "request:" + std::to_string(n)}, now);
        now = crash(evidence, 1, {"common", "request:bad"}, now + milliseconds(1));
    }
    CHECK(judge(evidence, now) == Parts{"request:bad"});
    CHECK(admit(evidence, {"common", "request:bad"}, now) == Admission::Refused);
    CHECK(admit(evidence, {"common", "request:other"}, now) == Admission::Allowed);
}

// Guards against a refusal of all requests with a part for what one of them causes.
TEST_CASE("of a request and its part the request is convicted first")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"common", "document", "request:bad"});
    CHECK(judge(evidence, now) == Parts{"request:bad"});
    CHECK(admit(evidence, {"common", "document", "request:other"}, now) == Admission::Allowed);
    SUBCASE("the part is the cause")
    {
        for (const std::string other : {"request:1", "request:2"}) {
            CHECK(judge(evidence, now).empty());
            now = crash(evidence, 1, {"common", "document", other}, now);
        }
        CHECK(judge(evidence, now) == Parts{"document"});
    }
}

// Guards against a sound part that is refused since a sound request with it was at one crash more.
TEST_CASE("a request that explains nearly all crashes of its part is convicted, not the part")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 5, {"common", "document", "request:bad"});
    now = crash(evidence, 1, {"common", "document", "request:sound"}, now);
    CHECK(judge(evidence, now) == Parts{"request:bad"});
    CHECK(admit(evidence, {"common", "document", "request:sound"}, now) == Admission::Allowed);
    // The crashes that the request explains still support a case against the part.
    now = crash(evidence, 1, {"common", "document", "request:other"}, now);
    CHECK(judge(evidence, now) == Parts{"document"});
}

// Guards against the verdict about a request that a crashing part hit repeatedly.
TEST_CASE("a part is convicted before a request that was at some of its crashes")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"bad", "request:victim"});
    for (const std::string other : {"request:1", "request:2", "request:3"})
        now = crash(evidence, 1, {"bad", other}, now);
    CHECK(judge(evidence, now) == Parts{"bad"});
    CHECK(admit(evidence, {"sound", "request:victim"}, now) == Admission::Allowed);
}

// Guards against tables that grow with requests that nobody suspects, and against verdicts about
// requests whose answers were forgotten.
TEST_CASE("answers to requests are remembered in tables of bounded size")
{
    Evidence evidence;
    const auto &answered = evidence.answered[static_cast<std::size_t>(SubjectKind::Request)];
    for (int n = 0; n < 50'000; ++n)
        recordAnswer(evidence, {"request:" + std::to_string(n)}, begin - seconds(20));
    CHECK(answered.newer.size() + answered.older.size() <= requestPolicy().maxAnswered);
    CHECK(recordAnswer(evidence, {"request:polled"}, begin).empty());
    CHECK(suspectsOf(evidence, {"request:polled"}, begin + seconds(5)).empty());
    TimePoint now = crash(evidence, 2, {"request:polled"});
    CHECK(recordAnswer(evidence, {"request:polled"}, now) == Parts{"request:polled"});
    CHECK(crashCount(evidence, "request:polled") == 0);
    now = crash(evidence, 3, {"request:polled"}, now + milliseconds(1));
    CHECK(judge(evidence, now).empty());
    now = crash(evidence, 1, {"request:polled"}, now);
    CHECK(judge(evidence, now) == Parts{"request:polled"});
}

// Guards against suspects of one kind that push out those of the other.
TEST_CASE("each kind of subject has room among the suspects of a crash")
{
    Evidence evidence;
    constexpr int parts = 200;
    std::vector<std::string> subjects;
    subjects.reserve(parts + 1);
    for (int n = 0; n < parts; ++n)
        subjects.push_back("p" + std::to_string(n));
    subjects.emplace_back("request:bad");
    const TimePoint now = crash(evidence, 3, subjects);
    CHECK(judge(evidence, now) == Parts{"request:bad"});
}

TEST_CASE("ids of any length have names of a bounded length")
{
    CHECK(partName("5c1e07a2") == "5c1e07a2");
    CHECK(partName(std::string(10'000, 'a')).size() < 40);
    CHECK(partName(std::string(10'000, 'a')) != partName(std::string(10'000, 'b')));
}

// Guards against repeats of a request that are not known as such, and against a sound request that
// is taken for another one.
TEST_CASE("a request has one name, which each part of its identity changes")
{
    const RequestIdentity base{"host", "POST", "/path?a=1", "till", "body", {"aa", "bb"}};
    CHECK(requestName(base) == requestName(base));
    CHECK(kindOf(requestName(base)) == SubjectKind::Request);
    CHECK(requestName(base).size() <= 64);
    std::vector<RequestIdentity> others(7, base);
    others[0].host = "host2";
    others[1].method = "PUT";
    others[2].target = "/path?a=2";
    others[3].customer = "shop";
    others[4].body = "body2";
    others[5].customer = "tillb";
    others[5].body = "ody";
    others[6].body = "";
    for (const RequestIdentity &it : others)
        CHECK(requestName(it) != requestName(base));
    RequestIdentity sameBody = base;
    sameBody.promptParts = {"aa", "cc"};
    CHECK(requestName(sameBody) == requestName(base));
    RequestIdentity noBody = others[6];
    noBody.promptParts = {"aa", "cc"};
    CHECK(requestName(noBody) != requestName(others[6]));
}

TEST_CASE("no part has the name of a request")
{
    const std::string request = requestName({});
    CHECK(partName(request) != request);
    CHECK(kindOf(partName(request)) == SubjectKind::Part);
    CHECK(kindOf("5c1e07a2") == SubjectKind::Part);
    CHECK(kindOf("block:12") == SubjectKind::Part);
}

// Guards against verdicts that nothing can refute any more.
TEST_CASE("a verdict is tried by single requests, which an answer ends and a crash makes rarer")
{
    Evidence evidence;
    TimePoint now = crash(evidence, 3, {"bad"});
    judge(evidence, now);
    CHECK(admit(evidence, {"bad"}, now) == Admission::Refused);
    for (const int delay : {2, 12, 72, 432, 600, 600}) {
        CAPTURE(delay);
        now += seconds(delay) - milliseconds(1);
        CHECK(admit(evidence, {"bad"}, now) == Admission::Refused);
        now += milliseconds(1);
        CHECK(admit(evidence, {"bad"}, now) == Admission::Trial);
        CHECK(admit(evidence, {"bad"}, now + seconds(3)) == Admission::Refused);
        now += seconds(1);
        CHECK(failTrial(evidence, "bad", "app", "x" + std::to_string(delay), now));
        CHECK_FALSE(failTrial(evidence, "bad", "app", "y", now));
    }
    CHECK_FALSE(evidence.verdicts.at("bad").isProven);
    now += seconds(600);
    CHECK(admit(evidence, {"bad"}, now) == Admission::Trial);
    recordAnswer(evidence, {"bad"}, now + seconds(1));
    CHECK(admit(evidence, {"bad"}, now + seconds(1)) == Admission::Allowed);
}

// Guards against refusals for good because of crashes that come whatever servers are sent.
TEST_CASE("a failed trial proves a verdict only if another server of the service went on")
{
    struct Row
    {
        const char *name;
        const char *service;
        const char *start;
        bool hasOtherCrash;
        bool isProven;
    };
    for (const Row &row : {Row{"another server", "app", "other", false, true},
                           Row{"a server of another service", "lm", "other", false, false},
                           Row{"none", "app", "", false, false},
                           Row{"the next start", "app", "crashed", false, false},
                           Row{"crashes without the subject", "app", "other", true, false}}) {
        CAPTURE(row.name);
        Evidence evidence;
        TimePoint now = crash(evidence, 3, {"bad"});
        judge(evidence, now);
        now += seconds(2);
        recordLife(evidence, "app", "crashed", now);
        if (*row.start != '\0')
            recordLife(evidence, row.service, row.start, now);
        CHECK(admit(evidence, {"bad"}, now) == Admission::Trial);
        now += milliseconds(100);
        CHECK(failTrial(evidence, "bad", "app", "crashed", now));
        recordCrash(evidence, "crashed", suspects({"bad"}), now);
        if (row.hasOtherCrash)
            recordCrash(evidence, "third", suspects({"sound"}), now);
        now += seconds(1);
        if (*row.start != '\0')
            recordLife(evidence, row.service, row.start, now);
        CHECK((prove(evidence, now) == Parts{"bad"}) == row.isProven);
    }
}
