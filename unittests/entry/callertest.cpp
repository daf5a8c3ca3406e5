#include "authenticate.h"
#include "callerrequest.h"
#include "entries.h"
#include "keyindex.h"
#include "secretscan.h"
#include "upstreamtable.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::entry;

namespace {

const TimePoint now{std::chrono::seconds(1000)};
const std::string chatPath = "/v1/chat/completions";

catalogue::Catalogue sample()
{
    catalogue::Catalogue out;
    out.revision = 7;
    out.customers["rounds"].head.name = "rounds";
    auto &key = out.keys["till"];
    key.head.name = "till";
    key.customer = "rounds";
    key.sha256 = sha256Hex("secret-key");
    auto &route = out.routes["chat"];
    route.head.name = "chat";
    route.model = "m";
    route.head.limits.maxOutputTokens = 50;
    auto &service = out.routes["orders"];
    service.head.name = "orders";
    service.pathPrefix = "/svc/orders";
    service.upstreams = {"s1"};
    auto &engine = out.upstreams["e1"];
    engine.head.name = "e1";
    engine.model = "m";
    engine.adapters = {"a"};
    auto &plain = out.upstreams["s1"];
    plain.head.name = "s1";
    plain.kind = catalogue::UpstreamKind::Service;
    return out;
}

runtime::HttpRequest post(const std::string &path, const std::string &body,
                          const std::string &query = {})
{
    return {"POST", path, query, {{"Authorization", "Bearer secret-key"}}, body, "1.2.3.4:5"};
}

// Returns the error's message, or "" if the request was read.
std::string problemOf(const runtime::HttpRequest &http)
{
    static const auto catalogue = sample();
    return orElse(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(readCallerRequest(http, catalogue, now));
            return std::string();
        },
        [](const Error &e) {
            CHECK(e.outcome == Outcome::NotRun);
            return e.message;
        });
}

CallerRequest requestOf(const runtime::HttpRequest &http, const catalogue::Catalogue &catalogue)
{
    return orElse(
        [&] {
            return readCallerRequest(http, catalogue, now);
        },
        [](const Error &e) {
            FAIL(describe(e));
            return CallerRequest();
        });
}

} // namespace

TEST_CASE("a chat request is read and bounded by its route")
{
    const auto catalogue = sample();
    const auto request = requestOf(post(chatPath,
                                        R"({"model":"m:a","stream":true,"max_tokens":900,
                 "messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]})"),
                                   catalogue);
    CHECK(request.route->head.name == "chat");
    CHECK(request.adapter == "a");
    CHECK(request.streams);
    CHECK(request.promptText == "user\nhello\n");
    CHECK(request.maxOutputTokens == 50);
    const auto body = nlohmann::json::parse(request.body);
    CHECK(body["max_tokens"] == 50);
    CHECK(body["stream_options"]["include_usage"] == true);
    CHECK(allowedUpstreams(catalogue, request).size() == 1);
}

TEST_CASE("bad requests get a clear error")
{
    struct Case
    {
        runtime::HttpRequest http;
        std::string expected;
    };
    const std::string deep(200, '[');
    const std::vector<Case> cases{
        {post(chatPath, ""), "the body must be a JSON object"},
        {post(chatPath, "[1]"), "the body must be a JSON object"},
        {post(chatPath, R"({"a":)" + deep), "nested too deeply"},
        {post(chatPath, R"({"messages":[]})"), "\"model\" must be a string"},
        {post(chatPath, R"({"model":"x","messages":[]})"), "no route serves this model"},
        {post(chatPath, R"({"model":"m","messages":[]})"), "at least one message"},
        {post(chatPath, R"({"model":"m","messages":[1]})"), "each message must be an object"},
        {post(chatPath, R"({"model":"m","stream":3})"), "\"stream\" must be a boolean"},
        {post("/v1/completions", R"({"model":"m"})"), "\"prompt\" is missing"},
        {post("/v1/completions", R"({"model":"m","prompt":"x","max_tokens":-1})"), "from 1 to"},
        {post("/v1/completions", R"({"model":"m","prompt":"x","max_tokens":0})"), "from 1 to"},
        {post("/svc/ordersx", "{}"), "no route serves this path"},
        {{"GET", chatPath, "", {}, "", ""}, "the method must be POST"},
        {{"POST", "/svc/orders", "", {{"Idempotency-Key", std::string(300, 'k')}}, "", ""},
         "more than 255 bytes"},
    };
    for (const auto &it : cases) {
        CAPTURE(it.http.body);
        CHECK(problemOf(it.http).find(it.expected) != std::string::npos);
    }
}

TEST_CASE("a key outside its header is refused before anything is sent")
{
    const std::string expected = "the caller's key may stand only in the Authorization header";
    const std::vector<runtime::HttpRequest> cases{
        post(chatPath, R"({"model":"m","messages":[{"role":"user","content":"secret-key"}]})"),
        post(chatPath, R"({"model":"m","user":"secret\u002dkey","messages":[{"role":"u"}]})"),
        post(chatPath, R"({"model":"m","x":{"secret-key":1},"messages":[{"role":"u"}]})"),
        post("/svc/orders", "raw secret-key text"),
        post("/svc/orders", R"({"k":"secret\u002dkey"})"),
        post("/svc/orders/1", "", "api_key=secret-key"),
        post("/svc/orders/1", "", "api_key=secret%2Dkey"),
        post("/svc/orders/secret-key", ""),
    };
    for (const auto &it : cases) {
        CAPTURE(it.body + it.path + it.query);
        CHECK(problemOf(it) == expected);
    }
}

TEST_CASE("a request runs only for the customer of a key that stands")
{
    const auto base = std::make_shared<catalogue::Catalogue>(sample());
    const Duration bound = std::chrono::seconds(5);
    struct Case
    {
        std::string name;
        bool openRoute;
        bool knownKey;
        bool withdrawn;
        Duration proofAge;
        std::string expected;
        bool replaced = false;
    };
    const Duration young = std::chrono::seconds(1);
    const std::vector<Case> cases{
        {"stands", false, true, false, young, "rounds"},
        {"at the bound", false, true, false, bound, "rounds"},
        {"stale", false, true, false, bound + Duration(1), "staleConfiguration"},
        {"unknown", false, false, false, young, "unauthenticated"},
        {"withdrawn", false, true, true, young, "unauthenticated"},
        {"open", true, false, false, std::chrono::hours(1), ""},
        {"replaced", false, true, false, young, "unavailable", true},
    };
    for (const auto &it : cases) {
        CAPTURE(it.name);
        auto copy = std::make_shared<catalogue::Catalogue>(*base);
        copy->routes["chat"].openToAll = it.openRoute;
        copy->keys["till"].withdrawn = it.withdrawn;
        catalogue::Snapshot snapshot;
        snapshot.catalogue = copy;
        snapshot.provenAt = now - it.proofAge;
        snapshot.replaced = it.replaced;
        auto request = requestOf(post("/v1/completions", R"({"model":"m","prompt":"x"})"), *copy);
        const auto *key = it.knownKey ? &copy->keys["till"] : nullptr;
        const std::string got = orElse(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(authenticate(request, key, snapshot, now, bound));
                return request.customer;
            },
            [](const Error &e) {
                CHECK(e.outcome == Outcome::NotRun);
                return std::string(errorCodeName(e.code));
            });
        CHECK(got == it.expected);
    }
}

TEST_CASE("an instance without any proof does not answer keyed requests")
{
    catalogue::Snapshot snapshot;
    CHECK_FALSE(catalogue::isFresh(snapshot, TimePoint{} + Duration(1), std::chrono::seconds(5)));
}

TEST_CASE("callers are sent to serving entries, the near ones first")
{
    catalogue::Instances instances;
    const auto add = [&](const std::string &name, const std::string &domain, std::uint32_t weight,
                         catalogue::InstanceState state) {
        catalogue::Instance it;
        it.name = name;
        it.failureDomain = domain;
        it.weight = weight;
        it.state = state;
        instances.entries[name] = it;
    };
    catalogue::Instance self;
    self.name = "self";
    CHECK(entriesFor(instances, "b", self).at(0).name == "self");
    add("far", "a", 500, catalogue::InstanceState::Serving);
    add("near1", "b", 100, catalogue::InstanceState::Serving);
    add("near2", "b", 200, catalogue::InstanceState::Serving);
    add("leaving", "b", 900, catalogue::InstanceState::Leaving);
    add("starting", "b", 900, catalogue::InstanceState::Starting);
    std::string names;
    for (const auto &it : entriesFor(instances, "b", self))
        names += it.name + " ";
    CHECK(names == "near2 near1 far ");
    instances.hinted = {"near2", "far"};
    CHECK(entriesFor(instances, "b", self).size() == 1);
    CHECK(entriesFor(instances, "b", self).at(0).name == "near1");
    instances.hinted.insert("near1");
    CHECK(entriesFor(instances, "b", self).size() == 3);
}

TEST_CASE("a leaving upstream and one without the adapter get no request")
{
    auto catalogue = sample();
    const auto request =
        requestOf(post("/v1/completions", R"({"model":"m:a","prompt":"x"})"), catalogue);
    UpstreamTable table;
    CHECK(table.choose(catalogue, request, {}).has_value());
    CHECK_FALSE(table.choose(catalogue, request, {"e1"}).has_value());
    catalogue.upstreams["e1"].state = catalogue::UpstreamState::Leaving;
    CHECK_FALSE(table.choose(catalogue, request, {}).has_value());
    catalogue.upstreams["e1"].state = catalogue::UpstreamState::Serving;
    catalogue.upstreams["e1"].adapters.clear();
    CHECK_FALSE(table.choose(catalogue, request, {}).has_value());
}
