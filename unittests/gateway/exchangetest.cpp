// What callers get when servers fail, answer wrongly or do not answer, over real connections.

#include "exchangefixture.h"

#include "eventframer.h"
#include "exchange.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace gatewaytest;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Lets all engines begin streams, the first two events each.
void streamTwoEvents(ExchangeFixture &t)
{
    for (const auto &it : t.engines)
        it->answer = [](Peer &peer, const std::string &request) {
            peer.send(streamHead(fieldOf(request, "Id")) + streamEvent(1) + streamEvent(2));
        };
}

/// Sends two requests to a server that repeats an earlier refusal, \p copy, before its second
/// answer on a connection. Returns the status that the second request's caller gets.
std::string statusBesideCopy(const std::string &copy, const std::string &route, bool haveIds)
{
    ExchangeFixture t(1);
    const Peer *first = nullptr;
    t.apps[0]->answer = [&](Peer &peer, const std::string &request) {
        const std::string id = fieldOf(request, "Id");
        peer.send((first == &peer ? copy : std::string())
                  + wholeAnswer(200, id.empty() ? "" : "Id: " + id + "\r\n", "whole"));
        if (first == nullptr)
            first = &peer;
    };
    Peer &caller = t.connect();
    for (const std::string id : {"r1", "r2"}) {
        caller.received.clear();
        caller.send(
            ExchangeFixture::request(id == "r1" ? "read" : route, haveIds ? id : std::string()));
        REQUIRE(t.runUntil([&] {
            return caller.received.find("\r\n\r\n") != std::string::npos;
        }));
    }
    CHECK(countOf(caller.received, "HTTP/1.1") == 1);
    return caller.received.substr(std::string("HTTP/1.1 ").size(), 3);
}

} // namespace

// Guards against an answer of the entry inside a stream of a server.
TEST_CASE("a stream that no server can resume is cut without a second answer")
{
    ExchangeFixture t;
    streamTwoEvents(t);
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request("ask", "r1"));
    REQUIRE(t.runUntil([&] {
        return caller.received.find("piece 2") != std::string::npos;
    }));
    SUBCASE("all servers refuse connections")
    {
        for (const auto &it : t.engines)
            it->cut();
    }
    SUBCASE("the other server refuses the request")
    {
        for (const auto &it : t.engines)
            it->answer = [](Peer &peer, const std::string &request) {
                peer.send(
                    wholeAnswer(503, "Id: " + fieldOf(request, "Id") + "\r\nNot-Run: 1\r\n", ""));
            };
        for (const auto &it : t.engines) {
            for (const auto &connection : it->connections)
                connection->reset();
        }
    }
    SUBCASE("no time is left")
    {
        t.runUntil(
            [] {
                return false;
            },
            milliseconds(3'985));
        for (const auto &it : t.engines)
            it->cut();
    }
    REQUIRE(t.runUntil([&] {
        return caller.hasEnded;
    }));
    CHECK(countOf(caller.received, "HTTP/1.1") == 1);
    CHECK(caller.received.find("0\r\n\r\n") == std::string::npos);
    CHECK(t.gateway.running == 0);
}

// Guards against a request that begins on replaced weights after a long wait at its server.
TEST_CASE("a request that waits at a server with replaced weights is withdrawn in time")
{
    struct Row
    {
        std::string name;
        Duration replacedBefore;
        bool answersHead;
    };
    for (const Row &row : {Row{"replaced before it was sent", milliseconds(200), false},
                           Row{"replaced while it waits", milliseconds(-200), false},
                           Row{"it has begun", milliseconds(200), true}}) {
        CAPTURE(row.name);
        ExchangeFixture t(1);
        t.gateway.servers.weightsTime = milliseconds(600);
        const TimePoint start = monotonicNow();
        const auto replace = [&t](TimePoint at) {
            catalogue::WeightsTimes times;
            catalogue::recordWeights(times, "m", 3, 2, at);
            t.gateway.servers.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(times);
        };
        auto listed = std::make_shared<catalogue::Catalogue>();
        listed->serverWeights["lm0@0/m"] = {"lm0@0", "m", 2, false};
        applyCatalogue(t.gateway.servers, listed);
        const TimePoint replacedAt = start - row.replacedBefore;
        if (replacedAt <= start)
            replace(replacedAt);
        t.engines[0]->answer = [&row](Peer &peer, const std::string &request) {
            if (row.answersHead)
                peer.send(streamHead(fieldOf(request, "Id")) + streamEvent(1));
        };
        Peer &caller = t.connect();
        caller.send(ExchangeFixture::request("ask", "r1"));
        t.runFor(milliseconds(100));
        if (replacedAt > start) {
            t.runFor(replacedAt - monotonicNow());
            replace(replacedAt);
        }
        REQUIRE(t.engines[0]->requests.size() == 1);
        t.runUntil(
            [&] {
                return t.gateway.running == 0;
            },
            replacedAt + milliseconds(600) - monotonicNow());
        CHECK((t.gateway.running == 0) == !row.answersHead);
        if (!row.answersHead)
            CHECK(caller.received.substr(0, 12) == "HTTP/1.1 502");
    }
}

// Guards against a retry that gives up the present answer for a server that cannot be chosen.
TEST_CASE("an error of the only server that can be chosen reaches the caller")
{
    ExchangeFixture t;
    t.gateway.servers.weightsTime = milliseconds(100);
    const auto named = [](std::uint64_t version) {
        auto it = std::make_shared<catalogue::Catalogue>();
        it->weights["m"] = version;
        it->serverWeights["lm0@0/m"] = {"lm0@0", "m", 2, false};
        return it;
    };
    catalogue::WeightsTimes times;
    catalogue::recordWeights(times, "m", 2, 1, monotonicNow() - milliseconds(500));
    t.gateway.servers.weightsTimes = std::make_shared<const catalogue::WeightsTimes>(times);
    applyCatalogue(t.gateway.servers, named(2));
    for (const auto &it : t.engines)
        it->answer = [](Peer &peer, const std::string &request) {
            peer.send(wholeAnswer(500, "Id: " + fieldOf(request, "Id") + "\r\n", "server error"));
        };
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request("ask", "r1"));
    REQUIRE(t.runUntil([&] {
        return caller.received.find("\r\n\r\n") != std::string::npos;
    }));
    CHECK(caller.received.substr(0, 12) == "HTTP/1.1 500");
    CHECK(t.engines[0]->requests.size() == 1);
    CHECK(t.engines[1]->requests.empty());
}

// Guards against a stream that broke off inside an event and reaches its caller as complete.
TEST_CASE("a stream without a length that ends inside an event is resumed or cut")
{
    ExchangeFixture t;
    std::string route = "ask";
    SUBCASE("resumable") { }
    SUBCASE("not resumable")
    {
        route = "review";
    }
    for (const auto &it : t.engines)
        it->answer = [](Peer &peer, const std::string &request) {
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: "
                + fieldOf(request, "Id") + "\r\n\r\n";
            const bool isResumed = !fieldOf(request, "Resume").empty();
            peer.send(
                head
                + (isResumed ? "id: 2\ndata: piece 2\n\n" : "id: 1\ndata: piece 1\n\nid: 2\nda"));
            peer.close();
        };
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request(route, "r1"));
    REQUIRE(t.runUntil([&] {
        return caller.hasEnded || caller.received.find("0\r\n\r\n") != std::string::npos;
    }));
    const bool isComplete = caller.received.find("0\r\n\r\n") != std::string::npos;
    CHECK(isComplete == (route == "ask"));
    CHECK(countOf(caller.received, "piece ") == (route == "ask" ? 2 : 1));
    CHECK(countOf(caller.received, "HTTP/1.1") == 1);
}

// Guards against a reset that ends an answer without a length as complete.
TEST_CASE("an answer without a length is complete if its connection ends in order, not by a reset")
{
    ExchangeFixture t(1);
    bool isReset = false;
    SUBCASE("closed") { }
    SUBCASE("reset")
    {
        isReset = true;
    }
    t.apps[0]->answer = [&](Peer &peer, const std::string &request) {
        peer.send("HTTP/1.1 200 OK\r\nId: " + fieldOf(request, "Id") + "\r\n\r\nbody");
        if (isReset)
            peer.reset();
        else
            peer.close();
    };
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request("write", "w1"));
    REQUIRE(t.runUntil([&] {
        return caller.received.find("\r\n\r\n") != std::string::npos;
    }));
    CHECK(caller.received.substr(0, 12) == (isReset ? "HTTP/1.1 502" : "HTTP/1.1 200"));
}

// Guards against half of a server's head becoming a whole answer without a body.
TEST_CASE("a server that stops in the middle of its head has not answered")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: w1\r\nContent-Type: text/plain\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); length += 5) {
        CAPTURE(length);
        ExchangeFixture t(1);
        t.apps[0]->answer = [&](Peer &peer, const std::string &) {
            peer.send(head.substr(0, length));
            peer.close();
        };
        Peer &caller = t.connect();
        caller.send(ExchangeFixture::request("write", "w1"));
        REQUIRE(t.runUntil([&] {
            return caller.received.find("\r\n\r\n") != std::string::npos;
        }));
        CHECK(caller.received.substr(0, 12) == "HTTP/1.1 502");
    }
}

// Guards against a server that ended being taken for one that cut a connection, and the reverse.
TEST_CASE("the end of a server is told from the end of a connection")
{
    ExchangeFixture t(1);
    bool isEnd = false;
    SUBCASE("the server ends")
    {
        isEnd = true;
    }
    SUBCASE("the server cuts the connection") { }
    t.engines[0]->answer = [&](Peer &peer, const std::string &) {
        if (isEnd)
            t.engines[0]->cut();
        else
            peer.reset();
    };
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request("ask", "r1", "Prompt: a,b\r\n"));
    const std::string ended = "kumquathaven_servers_ended_total";
    const std::string alive = "kumquathaven_server_connections_lost_total";
    const auto counted = [&](const std::string &name) {
        return t.metrics.exposition().find("\n" + name + " 1") != std::string::npos;
    };
    REQUIRE(t.runUntil([&] {
        return counted(ended) || counted(alive);
    }));
    CHECK(counted(ended) == isEnd);
    CHECK(counted(alive) != isEnd);
    CHECK((crashCount(t.gateway.quarantine.evidence(), "a") == 1) == isEnd);
}

// Guards against requests that crash each server that begins to answer them.
TEST_CASE("a prompt that crashes servers is refused before its tokens are taken, others are served")
{
    ExchangeFixture t(8);
    const auto answer = [&](TestServer &server, Peer &peer, const std::string &request) {
        peer.send(streamHead(fieldOf(request, "Id")));
        if (request.find("bad") == std::string::npos) {
            peer.send(streamEvent(1) + streamEvent(2) + "0\r\n\r\n");
            return;
        }
        peer.send("5\r\nid: 1\r\n");
        server.cut();
    };
    for (const auto &it : t.engines)
        it->answer = [&answer, server = it.get()](Peer &peer, const std::string &request) {
            answer(*server, peer, request);
        };
    const auto send = [&](const std::string &id, const std::string &prompt) {
        Peer &caller = t.connect();
        caller.send(ExchangeFixture::request("ask", id, "Prompt: " + prompt + "\r\n"));
        REQUIRE(t.runUntil([&] {
            endConvicted(t.gateway, t.gateway.quarantine.judge(monotonicNow()));
            return caller.received.find("\r\n\r\n") != std::string::npos;
        }));
        return caller.received.substr(9, 3);
    };
    const auto pause = [&] {
        t.runUntil(
            [] {
                return false;
            },
            milliseconds(450));
    };
    // The first request may be sent to a second server, at the same moment.
    for (const std::string id : {"r1", "r2", "r3"}) {
        CHECK(send(id, "common,bad," + id) == "502");
        pause();
    }
    std::size_t crashed = 0;
    for (const auto &it : t.engines)
        crashed += it->isCut ? 1 : 0;
    CHECK(crashed == 4);
    CHECK(send("s1", "common,other,s1") == "200");
    // Not proven yet: the caller may come back.
    CHECK(send("r4", "other,bad,r4") == "503");
    crashed = 0;
    for (const auto &it : t.engines)
        crashed += it->isCut ? 1 : 0;
    CHECK(crashed == 4);
    auto proven = t.gateway.quarantine.evidence().verdicts.at("bad");
    ++proven.generation;
    proven.isProven = true;
    t.gateway.quarantine.applyVerdict({"bad", proven}, monotonicNow());
    CHECK(send("r5", "other,bad,r5") == "400");
}

// Guards against a request that crashes each server that begins to run it, sent again with new ids.
TEST_CASE("a request that crashes servers is refused on each kind of route, others are served")
{
    for (const std::string route : {"write", "read", "ask", "review"}) {
        CAPTURE(route);
        ExchangeFixture t(8);
        const auto answer = [&](TestServer &server, Peer &peer, const std::string &request) {
            const std::string id = fieldOf(request, "Id");
            const bool isStream = route == "ask" || route == "review";
            if (request.find("/bad ") != std::string::npos) {
                if (isStream)
                    peer.send(streamHead(id));
                server.end();
            } else if (isStream) {
                peer.send(streamHead(id) + streamEvent(1) + streamEvent(2) + "0\r\n\r\n");
            } else {
                peer.send(wholeAnswer(200, "Id: " + id + "\r\n", "whole"));
            }
        };
        auto &servers = route == "write" || route == "read" ? t.apps : t.engines;
        for (const auto &it : servers)
            it->answer = [&answer, server = it.get()](Peer &peer, const std::string &request) {
                answer(*server, peer, request);
            };
        const auto send = [&](const std::string &id, const std::string &path) {
            Peer &caller = t.connect();
            std::string request =
                ExchangeFixture::request(route, id, "Prompt: common," + id + "\r\n");
            request.replace(request.find("/x "), 2, path);
            // Without a body the parts of the prompt belong to the request.
            const std::size_t length = request.find("Content-Length: 0");
            if (length != std::string::npos)
                request = request.replace(length, 17, "Content-Length: 4") + "body";
            else
                request.erase(request.find("Prompt: "), ("Prompt: common," + id + "\r\n").size());
            caller.send(request);
            REQUIRE(t.runUntil([&] {
                endConvicted(t.gateway, t.gateway.quarantine.judge(monotonicNow()));
                return caller.received.find("\r\n\r\n") != std::string::npos;
            }));
            return caller.received.substr(9, 3);
        };
        const auto crashed = [&] {
            return std::count_if(servers.begin(), servers.end(), [](const auto &it) {
                return it->isCut;
            });
        };
        for (int n = 1; n <= 4 && crashed() < 3; ++n) {
            CHECK(send("r" + std::to_string(n), "/bad") != "200");
            CHECK(send("s" + std::to_string(n), "/good") == "200");
            t.runFor(milliseconds(450));
        }
        CHECK(crashed() == 3);
        CHECK(send("r5", "/bad") == "503");
        CHECK(send("s5", "/good") == "200");
        CHECK(crashed() == 3);
        if (route != "write")
            continue;
        // A trial that ends one more server, while the others go on, makes the refusal final.
        t.runFor(milliseconds(2100));
        const auto sendSound = [&](const std::string &name) {
            for (int n = 0; n < 12; ++n)
                CHECK(send(name + std::to_string(n), "/good") == "200");
        };
        sendSound("before");
        CHECK(send("r6", "/bad") != "503");
        CHECK(crashed() == 4);
        t.runFor(milliseconds(500));
        sendSound("after");
        CHECK(send("r7", "/bad") == "400");
        CHECK(crashed() == 4);
    }
}

// Guards against a buffer that grows for as long as a faulty server sends.
TEST_CASE("a stream with an event that does not end is resumed elsewhere with bounded memory")
{
    ExchangeFixture t;
    Peer *flooding = nullptr;
    for (const auto &it : t.engines)
        it->answer = [&](Peer &peer, const std::string &request) {
            peer.send(streamHead(fieldOf(request, "Id")));
            if (!fieldOf(request, "Resume").empty()) {
                peer.send(streamEvent(2) + "0\r\n\r\n");
                return;
            }
            peer.send(streamEvent(1));
            flooding = &peer;
        };
    Peer &caller = t.connect();
    caller.send(ExchangeFixture::request("ask", "r1"));
    const std::string piece = http::chunk(std::string(16'000, 'x'));
    std::size_t sent = 0;
    REQUIRE(t.runUntil([&] {
        if (flooding != nullptr && !flooding->hasEnded)
            sent += flooding->send(piece);
        return caller.received.find("0\r\n\r\n") != std::string::npos || sent > 20'000'000;
    }));
    CHECK(countOf(caller.received, "piece ") == 2);
    CHECK(caller.received.find("xxx") == std::string::npos);
    // Besides the event only the buffers of the two sockets were filled.
    CHECK(sent < maxEventBytes + 8'000'000);
    CHECK(flooding->hasEnded);
}

// Guards against an answer of an earlier request on a kept connection.
TEST_CASE("a refusal that a server repeats on a kept connection answers no other request")
{
    const std::string withId = wholeAnswer(503, "Id: r0\r\nNot-Run: 1\r\n", "");
    const std::string withoutId = wholeAnswer(503, "Not-Run: 1\r\n", "");
    for (const std::string route : {"read", "write"}) {
        CAPTURE(route);
        CHECK(statusBesideCopy(withId, route, true) == "200");
        CHECK(statusBesideCopy(withId, route, false) == "200");
        CHECK(statusBesideCopy(withoutId, route, false) == "200");
        // Nothing is known of an answer without an id where the server got one.
        CHECK(statusBesideCopy(withoutId, route, true) == (route == "read" ? "502" : "200"));
    }
}

// Guards against requests that a leaving entry passes on and then cuts.
TEST_CASE(
    "a leaving entry answers what it has passed on, and accepts nothing that it may have to cut")
{
    ExchangeFixture t;
    for (const auto &it : t.apps)
        it->answer = [](Peer &, const std::string &) {};
    t.gateway.leaving = leavingFrom(seconds(3), monotonicNow());
    Peer &late = t.connect();
    late.send(ExchangeFixture::request("write", "w1"));
    REQUIRE(t.runUntil([&] {
        return late.received.find("own answer") != std::string::npos;
    }));
    CHECK(late.received.substr(0, 12) == "HTTP/1.1 503");
    Peer &inTime = t.connect();
    inTime.send(ExchangeFixture::request("write", "w2", "Timeout: 1000\r\n"));
    Peer &read = t.connect();
    read.send(ExchangeFixture::request("read", "r1", "Timeout: 1000\r\n"));
    REQUIRE(t.runUntil([&] {
        return t.apps[0]->requests.size() + t.apps[1]->requests.size() >= 2;
    }));
    Peer &lateRead = t.connect();
    lateRead.send(ExchangeFixture::request("read", "r2"));
    REQUIRE(t.runUntil([&] {
        return lateRead.received.find("own answer") != std::string::npos;
    }));
    CHECK(lateRead.received.substr(0, 12) == "HTTP/1.1 503");
    CHECK(t.apps[0]->requests.size() + t.apps[1]->requests.size() == 2);
    for (const auto &it : t.connections)
        it->instanceEnds();
    REQUIRE(t.runUntil([&] {
        return read.hasEnded && inTime.hasEnded;
    }));
    // The requests may have run.
    CHECK(read.received.substr(0, 12) == "HTTP/1.1 502");
    CHECK(inTime.received.substr(0, 12) == "HTTP/1.1 502");
    CHECK(t.gateway.running == 0);
}

// Guards against a request that goes on under the scope of a plan that is no longer in force.
TEST_CASE("an attempt after a change of who is isolated uses the scope of the new plan")
{
    struct Row
    {
        bool isIsolatedBefore;
        bool isIsolatedLater;
        std::string before;
    };
    for (const Row &row : {Row{false, true, "v1"}, Row{true, false, "v1/north"}}) {
        CAPTURE(row.before);
        ExchangeFixture t;
        const auto planWith = [&](bool isIsolated) {
            deployment::Plan plan = t.gateway.plan->plan;
            plan.customers.resize(1);
            plan.customers[0].name = "north";
            plan.customers[0].keys = {"k"};
            plan.customers[0].isolated = isIsolated;
            return std::make_shared<const PlanInForce>(std::move(plan));
        };
        t.gateway.plan = planWith(row.isIsolatedBefore);
        std::vector<std::string> scopes;
        for (const auto &it : t.engines)
            it->answer = [&](Peer &peer, const std::string &request) {
                scopes.push_back(fieldOf(request, "Scope"));
                if (scopes.size() == 1) {
                    peer.send(streamHead("s1") + streamEvent(1));
                    t.gateway.plan = planWith(row.isIsolatedLater);
                    peer.reset();
                } else {
                    peer.send(streamHead("s1") + streamEvent(2) + std::string(http::lastChunk));
                }
            };
        Peer &caller = t.connect();
        caller.send(ExchangeFixture::request("ask", "s1", "Key: k\r\nPrompt: aa,bb\r\n"));
        REQUIRE(t.runUntil([&] {
            return caller.received.find("piece 2") != std::string::npos;
        }));
        const std::string later = "v1" + t.gateway.plan->cacheScopes.scopeOf("north");
        CHECK(scopes == std::vector<std::string>{row.before, later});
        CHECK(later == (row.isIsolatedLater ? "v1/north" : "v1"));
    }
}
