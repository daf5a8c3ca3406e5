#include "platform/dialect.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::deployment;

namespace {

const std::string valid =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"a.example",)"
    R"("PathPrefix":"/x/","Kind":"streaming","TimeoutMs":4000,"GoalMs":500,)"
    R"("Priority":0,"Service":"lm","Attempts":2,"Public":false,"Sticky":true,)"
    R"("Resumable":true,"GapGoalMs":500},{"Name":"r2","Host":"a.example",)"
    R"("PathPrefix":"/y/","Kind":"non_idempotent","TimeoutMs":2000,)"
    R"("Backends":[{"Service":"lm","Weight":90},{"Service":"app","Weight":10}]}],)"
    R"("Services":[{"Name":"lm","HealthPath":"/h","MaxConns":360,"Engine":)"
    R"({"Slots":64,"KvCapacity":157608,"TokenKvBytes":327680,"LinkMbps":5.5e5,)"
    R"("MaxInflight":12,"Models":[{"Name":"m"}]}},{"Name":"app"},)"
    R"({"Name":"keep","KvStoreAddr":"172.20.0.2:8604","Zone":"z",)"
    R"("LinkMbps":500000.0}],"Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":1,"PlainTokens":200,)"
    R"("Isolated":true,"RatePerS":170525,"Burst":170525}],"New":{"field":1}})";

std::string validationError(const std::string &text)
{
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(platform::readPlan(text));
            return std::string();
        },
        [](const Error &error) {
            return error.code == ErrorCode::InvalidRequest ? error.message : "another error";
        });
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

const RequestDialect &requests()
{
    return platform::dialect().requests;
}

} // namespace

TEST_CASE("a complete configuration is read and unknown fields are ignored")
{
    const Plan plan = orElse(
        [] {
            return platform::readPlan(valid);
        },
        [](const Error &) {
            return Plan();
        });
    CHECK(plan.version == 7);
    REQUIRE(plan.routes.size() == 2);
    CHECK(plan.routes[0].kind == RequestKind::Streaming);
    CHECK(plan.routes[0].resumable);
    CHECK(plan.routes[0].attempts == 2);
    CHECK(plan.routes[0].objective == std::chrono::milliseconds(500));
    CHECK(plan.routes[1].kind == RequestKind::NonIdempotent);
    CHECK(plan.routes[1].services.size() == 2);
    REQUIRE(plan.services.at("lm").engine);
    CHECK(plan.services.at("lm").engine->maxEventStreams == 12);
    REQUIRE(plan.services.at("keep").store);
    CHECK(plan.services.at("keep").store->address == "172.20.0.2:8604");
    REQUIRE(plan.customers.size() == 1);
    CHECK(plan.customers[0].isolated);
    CHECK(plan.customers[0].rateTokensPerSecond == 170525);
    CHECK(plan.limits.maxBodyBytes == 4194304);
}

TEST_CASE("invalid configurations are refused")
{
    const std::vector<std::string> rows{
        valid.substr(0, valid.size() / 2),
        "[]",
        replaced("\"Version\":7", "\"Version\":0"),
        replaced("\"Version\":7", "\"Version\":\"7\""),
        replaced("\"Kind\":\"streaming\"", "\"Kind\":\"other\""),
        replaced("\"Service\":\"lm\",\"Attempts\"", "\"Service\":\"none\",\"Attempts\""),
        replaced("\"TimeoutMs\":4000", "\"TimeoutMs\":0"),
        replaced("\"Weight\":90", "\"Weight\":0").replace(0, 0, ""),
        replaced("\"PathPrefix\":\"/y/\"", "\"PathPrefix\":\"/x/\""),
        replaced("\"Tenants\":[", "\"Tenants\":[{\"Name\":\"u\",\"ApiKeys\":[\"k\"]},"),
    };
    for (std::size_t n = 0; n < rows.size(); ++n) {
        CAPTURE(n);
        // A weight of zero is valid if another service has a weight.
        CHECK(validationError(rows[n]).empty() == (n == 7));
    }
    CHECK_FALSE(validationError(replaced("\"Weight\":90},{\"Service\":\"app\",\"Weight\":10",
                                         "\"Weight\":0},{\"Service\":\"app\",\"Weight\":0"))
                    .empty());
}

TEST_CASE("a caller's head is read into typed values")
{
    const auto head = orElse(
        [] {
            return requests().readHead({{"x-request-id", "abc"},
                                        {"X-Deadline-Ms", "8000"},
                                        {"X-Key", "k"},
                                        {"X-Token-Usage", "1460,80"},
                                        {"X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410"}});
        },
        [](const Error &) {
            return CallerHead();
        });
    CHECK(head.requestId == "abc");
    CHECK(head.timeout == std::chrono::milliseconds(8000));
    CHECK(head.promptTokens == 1460);
    CHECK(head.maxOutputTokens == 80);
    REQUIRE(head.prompt.size() == 2);
    CHECK(head.prompt[1].id == "91bd3f06");
    CHECK(head.prompt[1].tokens == 410);
}

TEST_CASE("a caller cannot set fields reserved for the system, and its key is not forwarded")
{
    const std::vector<std::string> fields{"X-Key",
                                          "x-tenant",
                                          "X-Deadline-Ms",
                                          "X-Target-Instance",
                                          "X-Request-Priority",
                                          "X-Cache-Salt",
                                          "X-Kv-Fetch",
                                          "X-Kv-Save",
                                          "X-Kv-Backup",
                                          "Kv-From",
                                          "X-Hold",
                                          "X-Pin-Ms",
                                          "Connection",
                                          "Keep-Alive",
                                          "Transfer-Encoding",
                                          "Content-Length",
                                          "X-Secret-Hop",
                                          "X-Expect-Version"};
    runtime::HeaderFields sent{
        {"Connection", "close, X-Secret-Hop"}, {"X-Request-Id", "abc"}, {"Accept", "*/*"}};
    for (const std::string &it : fields) {
        if (it != "Connection")
            sent.emplace_back(it, "forged");
    }
    ForwardingContext context;
    context.timeLeft = std::chrono::milliseconds(1500);
    context.serverId = "i-1";
    context.customer = "t";
    const runtime::HeaderFields out = requests().forwardFields(sent, context);
    for (const auto &it : out)
        CHECK(it.second != "forged");
    CHECK(runtime::headerValue(out, "X-Request-Id") == "abc");
    CHECK(runtime::headerValue(out, "Accept") == "*/*");
    CHECK(runtime::headerValue(out, "X-Tenant") == "t");
    CHECK(runtime::headerValue(out, "X-Target-Instance") == "i-1");
    CHECK(runtime::headerValue(out, "X-Deadline-Ms") == "1500");
}

TEST_CASE("a stream is resumed after the last event that the system received, not the caller's")
{
    ForwardingContext context;
    context.resumeAfter = "9";
    const auto out = requests().forwardFields({{"Last-Event-Id", "3"}}, context);
    REQUIRE(out.size() == 2);
    CHECK(runtime::headerValue(out, "Last-Event-Id") == "9");
    CHECK(runtime::headerValue(
              requests().forwardFields({{"Last-Event-Id", "3"}}, ForwardingContext()),
              "Last-Event-Id")
          == "3");
}

TEST_CASE("only an explicit statement of a server means that a request did not run")
{
    CHECK_FALSE(requests().readAnswer(503, {}).isNotRun);
    CHECK(requests().readAnswer(503, {{"X-Not-Executed", "1"}}).isNotRun);
    CHECK(requests().readAnswer(421, {}).isNotRun);
    CHECK(requests().readAnswer(421, {}).isOtherServer);
    CHECK_FALSE(requests().readAnswer(500, {}).isNotRun);
    CHECK(requests().readAnswer(200, {{"Keep-Alive", "timeout=4, max=100"}}).keepAlive
          == std::chrono::seconds(4));
}

TEST_CASE("the status of a refusal claims no more than is known")
{
    const auto statusOf = [](ErrorCode code, Outcome outcome) {
        return requests()
            .refuse({code, "s", {}, "m", outcome, std::chrono::milliseconds(250)})
            .status;
    };
    CHECK(statusOf(ErrorCode::Overloaded, Outcome::NotRun) == 503);
    CHECK(statusOf(ErrorCode::Overloaded, Outcome::Unknown) == 502);
    CHECK(statusOf(ErrorCode::Overloaded, Outcome::Ran) == 502);
    CHECK(statusOf(ErrorCode::RateLimited, Outcome::NotRun) == 429);
    CHECK(statusOf(ErrorCode::DeadlineExceeded, Outcome::Unknown) == 504);
    CHECK(statusOf(ErrorCode::DeadlineExceeded, Outcome::NotRun) == 503);
    const auto reply = requests().refuse(
        {ErrorCode::Overloaded, "s", {}, "m", Outcome::NotRun, std::chrono::milliseconds(250)});
    CHECK(runtime::headerValue(reply.headers, "Retry-After") == "0.250");
}

TEST_CASE("unreadable entries of the list are counted and skipped")
{
    const auto page = orElse(
        [] {
            return platform::dialect().servers.readListPage(
                R"({"Instances":[{"Id":"i-1","Service":"lm","Addr":"10.0.0.9:8080","Zone":"z",)"
                R"("Version":"v1","Slots":64,"State":"draining","ColdLeftMs":0,"born":5,)"
                R"("Models":[{"Name":"m","Version":3,"Adapters":[]}]},{"Id":7},)"
                R"({"Id":"i-2","Service":"lm","Addr":"10.0.0.8:8080","Zone":"z","State":"odd"}],)"
                R"("Next":"p-50"})");
        },
        [](const Error &) {
            return ListPage();
        });
    REQUIRE(page.servers.size() == 1);
    CHECK(page.servers[0].isDraining);
    CHECK(page.servers[0].weights.at("m") == 3);
    CHECK(startIdOf(page.servers[0]) == "i-1@5");
    CHECK(page.unreadableEntries == 2);
    CHECK(page.nextPage == "p-50");
}
