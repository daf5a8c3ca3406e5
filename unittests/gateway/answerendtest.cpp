// Who decides that an answer is complete: every frame, every end and every place of the end.

#include "exchangefixture.h"

#include "exchange.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace gatewaytest;
using http::BodyFrame;
using std::chrono::milliseconds;

namespace {

enum class End {
    /// The server closes the connection in order, and runs on.
    Closed,
    Reset,
    /// The server ends; its connections are closed in order.
    ServerEnds,
    /// Nothing more arrives until the deadline.
    Silence,
    /// The entry ends.
    EntryStops,
};

constexpr std::array<EnumName<End>, 5> endNames = {{
    {End::Closed, "closed"},
    {End::Reset, "reset"},
    {End::ServerEnds, "serverEnds"},
    {End::Silence, "silence"},
    {End::EntryStops, "entryStops"},
}};

enum class Place {
    Head,
    BeforeFirst,
    InsideEvent,
    BetweenEvents,
    /// Inside the line with the size of a chunk.
    ChunkSize,
    /// Before the last chunk.
    AfterLastEvent,
    Whole,
};

constexpr std::array<EnumName<Place>, 7> placeNames = {{
    {Place::Head, "head"},
    {Place::BeforeFirst, "beforeFirst"},
    {Place::InsideEvent, "insideEvent"},
    {Place::BetweenEvents, "betweenEvents"},
    {Place::ChunkSize, "chunkSize"},
    {Place::AfterLastEvent, "afterLastEvent"},
    {Place::Whole, "whole"},
}};

struct Cell
{
    /// "ask": a stream that may be resumed; "review": one that may not; "read" and "write": plain
    /// answers that may be requested twice and once.
    std::string route;
    BodyFrame frame;
    End end;
    Place place;
};

constexpr int eventCount = 4;

std::string eventText(int n)
{
    return "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + "\n\n";
}

/// Returns the bytes of an answer with the events behind \p after, up to a place in it.
std::string answerBytes(BodyFrame frame, Place place, const std::string &id, int after = 0)
{
    std::string head = "HTTP/1.1 200 OK\r\nId: " + id + "\r\n";
    std::vector<std::string> pieces;
    std::size_t length = 0;
    for (int n = after + 1; n <= eventCount; ++n) {
        pieces.push_back(frame == BodyFrame::Chunks ? http::chunk(eventText(n)) : eventText(n));
        length += pieces.back().size();
    }
    if (frame == BodyFrame::Length)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    else if (frame == BodyFrame::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    if (place == Place::Head)
        return head;
    std::string bytes = head + "\r\n";
    if (place == Place::BeforeFirst)
        return bytes;
    const bool isCutInside =
        place == Place::InsideEvent || place == Place::BetweenEvents || place == Place::ChunkSize;
    for (std::size_t n = 0; n < (isCutInside ? 2 : pieces.size()); ++n)
        bytes += pieces[n];
    if (place == Place::InsideEvent)
        bytes += pieces[2].substr(0, pieces[2].size() / 2);
    if (place == Place::ChunkSize)
        bytes += pieces[2].substr(0, 1);
    if (place == Place::Whole && frame == BodyFrame::Chunks)
        bytes += http::lastChunk;
    return bytes;
}

/// Returns whether the first server's answer is complete as far as an entry can tell.
bool isCompleteAnswer(const Cell &cell)
{
    const bool haveAllEvents = cell.place == Place::AfterLastEvent || cell.place == Place::Whole;
    if (cell.frame == BodyFrame::Length)
        return haveAllEvents;
    if (cell.frame == BodyFrame::Chunks)
        return cell.place == Place::Whole;
    if (cell.end != End::Closed)
        return false;
    const bool isStream = cell.route == "ask" || cell.route == "review";
    // An orderly end of a server that runs on is the only mark that such an answer has.
    return haveAllEvents || cell.place == Place::BetweenEvents
        || (!isStream && cell.place != Place::Head);
}

bool exists(const Cell &cell)
{
    if (cell.place == Place::ChunkSize)
        return cell.frame == BodyFrame::Chunks;
    return cell.place != Place::Whole || cell.frame == BodyFrame::Chunks;
}

/// Plays a cell and compares what the caller gets.
void play(const Cell &cell)
{
    ExchangeFixture t;
    bool hasFailed = false;
    const auto answer = [&](TestServer &server, Peer &peer, const std::string &request) {
        const std::string id = fieldOf(request, "Id");
        const std::string resume = fieldOf(request, "Resume");
        if (std::exchange(hasFailed, true)) {
            peer.send(answerBytes(BodyFrame::Chunks, Place::Whole, id,
                                  resume.empty() ? 0 : std::stoi(resume)));
            return;
        }
        peer.send(answerBytes(cell.frame, cell.place, id));
        // The bytes arrive before the end, as they do from a server that writes event by event.
        t.runFor(milliseconds(2));
        if (cell.end == End::Closed)
            peer.close();
        else if (cell.end == End::Reset)
            peer.reset();
        else if (cell.end == End::ServerEnds)
            server.end();
        else if (cell.end == End::EntryStops)
            t.connections.front()->instanceEnds();
    };
    for (const auto *servers : {&t.apps, &t.engines}) {
        for (const auto &it : *servers)
            it->answer = [&answer, server = it.get()](Peer &peer, const std::string &request) {
                answer(*server, peer, request);
            };
    }
    Peer &caller = t.connect();
    const std::string timeout = cell.end == End::Silence ? "250" : "3000";
    caller.send(ExchangeFixture::request(cell.route, "r1", "Timeout: " + timeout + "\r\n"));
    REQUIRE(t.runUntil([&] {
        return t.gateway.running == 0 && !caller.received.empty();
    }));
    t.runFor(milliseconds(2));
    const std::string &got = caller.received;
    const bool isOwnAnswer = got.find("own answer") != std::string::npos;
    const std::size_t head = got.find("\r\n\r\n");
    const std::string length = fieldOf(got, "Content-Length");
    const bool isFramedWhole = length.empty()
        ? got.size() > 5 && got.substr(got.size() - 5) == http::lastChunk
        : got.size() - head - 4 == std::stoul(length);
    const std::size_t events = countOf(got, "data: piece");
    CHECK(countOf(got, "HTTP/1.1") == 1);
    const bool isRepeatable = cell.route == "ask" || cell.route == "read";
    const bool isEndOfEntry = cell.end == End::EntryStops || cell.end == End::Silence;
    if (isCompleteAnswer(cell)) {
        CHECK(isFramedWhole);
        CHECK_FALSE(isOwnAnswer);
    } else if (isRepeatable && !isEndOfEntry) {
        CHECK(isFramedWhole);
        CHECK(events == eventCount);
    } else {
        CHECK((isOwnAnswer || !isFramedWhole));
    }
    for (int n = 1; n <= eventCount; ++n)
        CHECK(countOf(got, "piece " + std::to_string(n)) <= 1);
}

} // namespace

// Guards against an answer that was broken off and reaches its caller framed as complete.
TEST_CASE("an answer is complete only if its frame and its server say so")
{
    int cells = 0;
    for (const std::string route : {"ask", "review", "read", "write"}) {
        for (const auto &frame : http::bodyFrameNames) {
            for (const auto &end : endNames) {
                for (const auto &place : placeNames) {
                    const Cell cell{route, frame.first, end.first, place.first};
                    if (!exists(cell))
                        continue;
                    CAPTURE(route);
                    CAPTURE(std::string(frame.second));
                    CAPTURE(std::string(end.second));
                    CAPTURE(std::string(place.second));
                    play(cell);
                    ++cells;
                }
            }
        }
    }
    CHECK(cells == 340);
}

// Guards against an answer that is none and reaches its caller.
TEST_CASE("an answer whose status is none reaches no caller")
{
    for (const std::string route : {"ask", "review", "read", "write"}) {
        for (const std::string status : {"000", "099", "101", "600", "999", "1000", "2xx"}) {
            CAPTURE(route);
            CAPTURE(status);
            ExchangeFixture t;
            const auto answer = [&](Peer &peer, const std::string &request) {
                peer.send("HTTP/1.1 " + status + " None\r\nId: " + fieldOf(request, "Id")
                          + "\r\nContent-Length: 6\r\n\r\nno own");
            };
            for (const auto *servers : {&t.apps, &t.engines}) {
                for (const auto &it : *servers)
                    it->answer = answer;
            }
            Peer &caller = t.connect();
            caller.send(ExchangeFixture::request(route, "r1", "Timeout: 1000\r\n"));
            REQUIRE(t.runUntil([&] {
                return t.gateway.running == 0 && !caller.received.empty();
            }));
            CHECK(caller.received.rfind("HTTP/1.1 50", 0) == 0);
            CHECK(countOf(caller.received, "no own") == 0);
        }
    }
}
