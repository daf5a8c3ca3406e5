// Operators' calls about rollouts: the status of each call in each state, what starts and what does
// not, and the text of refusals.

#include "declarations.h"
#include "platform/dialect.h"

#include "kumquathaven/catalogue/state.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::deployment;
using catalogue::RolloutState;

namespace {

enum class Last { NoDeclaration, None, Running, Complete, RolledBack };

catalogue::State stateWith(Last last)
{
    catalogue::State state;
    if (last == Last::NoDeclaration)
        return state;
    catalogue::Declare declare;
    declare.declaration = {1, std::make_shared<const std::string>("text")};
    REQUIRE(apply(state, {{}, {}, declare}).accepted);
    if (last == Last::None)
        return state;
    REQUIRE(apply(state, {{}, {}, catalogue::StartRollout{"chat", "v2", 12'000, 1}}).accepted);
    if (last == Last::Running)
        return state;
    const catalogue::RecordRolloutStep step{
        "chat", state.catalogue.rollouts.at("chat").number,
        0,      last == Last::Complete ? RolloutState::Complete : RolloutState::RolledBack,
        0,      0,
        "why"};
    REQUIRE(apply(state, {{}, {}, step}).accepted);
    return state;
}

std::vector<ListedServer> serversWith(const std::string &release)
{
    ListedServer server;
    server.service = "chat";
    server.release = release;
    return {server, server};
}

/// Answers a call as the leader does, without a log.
struct Answerer
{
    catalogue::State &state;
    const std::vector<ListedServer> &servers;

    Result<runtime::HttpReply> operator()(const StartRolloutCall &call) const
    {
        if (const auto refusal =
                control::rolloutRefusal(state.catalogue, {"chat", "mail"}, servers, call))
            return fail(*refusal);
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(call.limit);
        const catalogue::Answer answer =
            apply(state,
                  {{},
                   {},
                   catalogue::StartRollout{call.service, call.release,
                                           static_cast<std::uint64_t>(limit.count()), 99}});
        if (!answer.accepted)
            return fail({answer.code, "test", {}, answer.message, Outcome::NotRun, {}});
        return platform::dialect().control.acknowledge();
    }
    Result<runtime::HttpReply> operator()(const ReadRolloutCall &call) const
    {
        const auto it = state.catalogue.rollouts.find(call.service);
        if (it == state.catalogue.rollouts.end())
            return fail({ErrorCode::NotFound, "test", {}, "no rollout", Outcome::NotRun, {}});
        return platform::dialect().control.replyWithRollout(it->second);
    }
    template <typename Call>
    Result<runtime::HttpReply> operator()(const Call &) const
    {
        return fail({ErrorCode::Internal, "test", {}, "another call", Outcome::NotRun, {}});
    }
};

runtime::HttpReply answer(catalogue::State &state, const std::vector<ListedServer> &servers,
                          const std::string &method, const std::string &path,
                          const std::string &body)
{
    runtime::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    return orElse(
        [&]() -> Result<runtime::HttpReply> {
            BOOST_LEAF_AUTO(call, platform::dialect().control.readOperatorCall(request));
            return std::visit(Answerer{state, servers}, call);
        },
        [](const Error &error) {
            return platform::dialect().control.refuse(error);
        });
}

std::string order(const std::string &service, const std::string &to, const std::string &seconds)
{
    return R"({"Service":)" + service + R"(,"To":)" + to + R"(,"DurationS":)" + seconds + "}";
}

} // namespace

TEST_CASE("an order is answered by its body, the declaration, the servers and the last rollout")
{
    const std::string good = order(R"("chat")", R"("v2")", "12");
    const std::string lengths = "DurationS must be a number of seconds from 0.001 to 604800";
    const std::string service = "Service must be a string of 1 to 256 bytes";
    const std::string release = "To must be a string of 1 to 256 bytes";
    struct Row
    {
        const char *name;
        Last last;
        std::string body;
        int status;
        bool starts;
        std::string message;
    };
    const Row rows[] = {
        {"first order", Last::None, good, 200, true, ""},
        {"a length with a fraction", Last::None, order(R"("chat")", R"("v2")", "0.25"), 200, true,
         ""},
        {"a field of a later version", Last::None,
         R"({"Service":"chat","To":"v2","DurationS":12,"More":[1]})", 200, true, ""},
        {"before the first declaration", Last::NoDeclaration, good, 503, false,
         "no declaration has been accepted yet"},
        {"no JSON", Last::None, "Service=chat", 400, false, "the request body is not valid JSON"},
        {"an empty body", Last::None, "", 400, false, "the request body is not valid JSON"},
        {"a list", Last::None, "[]", 400, false, "the rollout: the value must be an object"},
        {"nested deeply", Last::None, std::string(100'000, '['), 400, false, "not valid JSON"},
        {"no service", Last::None, R"({"To":"v2","DurationS":12})", 400, false,
         service + " and is missing"},
        {"an empty service", Last::None, order(R"("")", R"("v2")", "12"), 400, false,
         service + R"(, not \"\")"},
        {"an unknown service", Last::None, order(R"("c")", R"("v2")", "12"), 400, false,
         R"(service \"c\" is unknown; it must be one of the declaration)"},
        {"no version", Last::None, R"({"Service":"chat","DurationS":12})", 400, false,
         release + " and is missing"},
        {"a version without a value", Last::None, order(R"("chat")", "null", "12"), 400, false,
         release + " and is missing"},
        {"a version that is a number", Last::None, order(R"("chat")", "2", "12"), 400, false,
         release + ", not 2"},
        {"a version that is too long", Last::None,
         order(R"("chat")", '"' + std::string(257, 'v') + '"', "12"), 400, false, release},
        {"no length", Last::None, R"({"Service":"chat","To":"v2"})", 400, false,
         lengths + " and is missing"},
        {"a length of zero", Last::None, order(R"("chat")", R"("v2")", "0"), 400, false,
         lengths + ", not 0"},
        {"a negative length", Last::None, order(R"("chat")", R"("v2")", "-12"), 400, false,
         lengths + ", not -12"},
        {"a length that is text", Last::None, order(R"("chat")", R"("v2")", R"("12")"), 400, false,
         lengths + R"(, not \"12\")"},
        {"a huge length", Last::None, order(R"("chat")", R"("v2")", "1e300"), 400, false, lengths},
        {"a length beyond every number", Last::None, order(R"("chat")", R"("v2")", "1e999"), 400,
         false, "the request body is not valid JSON"},
        {"a length over the bound", Last::None, order(R"("chat")", R"("v2")", "604801"), 400, false,
         lengths + ", not 604801"},
        {"the version that runs already", Last::None, order(R"("chat")", R"("v1")", "12"), 400,
         false, R"(all servers of service \"chat\" run release \"v1\" already)"},
        {"running, again", Last::Running, good, 200, false, ""},
        {"running, another version", Last::Running, order(R"("chat")", R"("v3")", "12"), 409, false,
         R"(the rollout of release \"v2\" of service \"chat\" is in progress)"},
        {"running, the version that runs", Last::Running, order(R"("chat")", R"("v1")", "12"), 409,
         false, "is in progress"},
        {"running, another length", Last::Running, order(R"("chat")", R"("v2")", "13"), 409, false,
         "is in progress"},
        {"running, another service", Last::Running, order(R"("mail")", R"("v2")", "12"), 200, true,
         ""},
        {"complete, again", Last::Complete, good, 200, false, ""},
        {"complete, another length", Last::Complete, order(R"("chat")", R"("v2")", "13"), 409,
         false, "runs already"},
        {"complete, another version", Last::Complete, order(R"("chat")", R"("v3")", "12"), 200,
         true, ""},
        {"rolled back, again", Last::RolledBack, good, 200, false, ""},
        {"rolled back, another length", Last::RolledBack, order(R"("chat")", R"("v2")", "13"), 200,
         true, ""},
        {"rolled back, a bad body", Last::RolledBack, order(R"("chat")", R"("v2")", "0"), 400,
         false, lengths},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        catalogue::State state = stateWith(row.last);
        const std::string before = encodeState(state);
        const auto reply = answer(state, serversWith("v1"), "POST", "/-/rollouts", row.body);
        CHECK(reply.status == row.status);
        CAPTURE(reply.body);
        CHECK(reply.body.find(row.message) != std::string::npos);
        CHECK((encodeState(state) != before) == row.starts);
    }
}

TEST_CASE("an order that was acknowledged is acknowledged again when its servers are all there is")
{
    for (const Last last : {Last::Running, Last::Complete, Last::RolledBack}) {
        catalogue::State state = stateWith(last);
        const auto reply = answer(state, serversWith("v2"), "POST", "/-/rollouts",
                                  order(R"("chat")", R"("v2")", "12"));
        CHECK(reply.status == 200);
    }
}

TEST_CASE("the state of a rollout is read by service")
{
    struct Row
    {
        const char *name;
        Last last;
        const char *method;
        const char *path;
        int status;
        const char *state;
    };
    const Row rows[] = {
        {"running", Last::Running, "GET", "/-/rollouts/chat", 200, "running"},
        {"complete", Last::Complete, "GET", "/-/rollouts/chat", 200, "complete"},
        {"rolled back", Last::RolledBack, "GET", "/-/rollouts/chat", 200, "rolled_back"},
        {"no rollout", Last::None, "GET", "/-/rollouts/chat", 404, nullptr},
        {"no declaration", Last::NoDeclaration, "GET", "/-/rollouts/chat", 404, nullptr},
        {"another service", Last::Running, "GET", "/-/rollouts/mail", 404, nullptr},
        {"no service", Last::Running, "GET", "/-/rollouts/", 404, nullptr},
        {"a path below", Last::Running, "GET", "/-/rollouts/chat/x", 404, nullptr},
        {"no list of rollouts", Last::Running, "GET", "/-/rollouts", 404, nullptr},
        {"an unknown method", Last::Running, "DELETE", "/-/rollouts/chat", 404, nullptr},
        {"an order below a service", Last::Running, "POST", "/-/rollouts/chat", 404, nullptr},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        catalogue::State state = stateWith(row.last);
        const auto reply = answer(state, {}, row.method, row.path, "{}");
        CHECK(reply.status == row.status);
        if (row.state)
            CHECK(nlohmann::json::parse(reply.body)
                  == nlohmann::json{{"State", row.state}, {"To", "v2"}});
    }
}

TEST_CASE("the release of a listed server is empty if it is missing or no text")
{
    const std::pair<const char *, const char *> rows[] = {
        {R"("Version":"v2",)", "v2"}, {"", ""},
        {R"("Version":7,)", ""},      {R"("Version":null,)", ""},
        {R"("Version":["v2"],)", ""}, {R"("Version":"",)", ""},
    };
    for (const auto &row : rows) {
        CAPTURE(row.first);
        const std::string list = R"({"Instances":[{)" + std::string(row.first)
            + R"("Id":"i","Service":"s","Addr":"10.0.0.9:80","Zone":"z","State":"ready"}]})";
        const std::string found = orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(page, platform::dialect().servers.readListPage(list));
                REQUIRE(page.servers.size() == 1);
                return page.servers.front().release;
            },
            [](const Error &error) {
                return describe(error);
            });
        CHECK(found == row.second);
    }
}
