#include "kumquathaven/answers/completionstream.h"
#include "kumquathaven/answers/sse.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::answers;

namespace {

std::vector<std::string> parse(const std::string &bytes, std::size_t firstPart)
{
    SseParser parser;
    std::vector<std::string> out;
    const std::string_view view = bytes;
    for (const std::string_view part : {view.substr(0, firstPart), view.substr(firstPart)}) {
        for (const SseEvent &it : parser.feed(part))
            out.push_back(it.name + "|" + it.data);
    }
    return out;
}

} // namespace

TEST_CASE("events do not depend on how the bytes are split")
{
    struct Case
    {
        const char *name;
        std::string bytes;
        std::vector<std::string> expected;
    };
    const std::vector<Case> cases{
        {"line feeds", "data: a\n\ndata: b\n\n", {"|a", "|b"}},
        {"carriage returns", "data: a\r\rdata: b\r\r", {"|a", "|b"}},
        {"both", "data: a\r\n\r\ndata: b\r\n\r\n", {"|a", "|b"}},
        {"no space, two spaces", "data:a\n\ndata:  b\n\n", {"|a", "| b"}},
        {"several data lines", "data: a\ndata\ndata: b\n\n", {"|a\n\nb"}},
        {"names, comments, other fields", ": hi\nid: 4\nevent: error\ndata: x\n\n", {"error|x"}},
        {"no data, no event", "event: x\n\n\n: hi\n\ndata: a\n\n", {"|a"}},
        {"the last event is not terminated", "data: a\n\ndata: b\n", {"|a"}},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        for (std::size_t n = 0; n <= it.bytes.size(); ++n)
            CHECK(parse(it.bytes, n) == it.expected);
    }
}

TEST_CASE("an event above the size limit stops the parser")
{
    SseParser parser(100);
    CHECK(parser.feed("data: " + std::string(200, 'x')).empty());
    CHECK(parser.tooLarge());
    CHECK(parser.feed("\n\ndata: a\n\n").empty());
    SseParser lines(100);
    for (int n = 0; n < 100; ++n)
        lines.feed("data: xxxxxxxx\n");
    CHECK(lines.tooLarge());
}

TEST_CASE("a stream is checked for its request, its order and its end")
{
    const std::string text =
        R"({"id":"r1","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]})";
    const std::string other = R"({"id":"r2","choices":[{"index":0,"delta":{"content":"x"}}]})";
    const std::string prefixed = R"({"id":"chatcmpl-r1","choices":[{"index":0,"text":"x"}]})";
    const std::string last =
        R"({"id":"r1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";
    const std::string usage = R"({"id":"r1","choices":[],"usage":{"completion_tokens":1}})";
    const std::string third =
        R"({"id":"r1","choices":[{"text":"x"}],"usage":{"completion_tokens":3}})";
    const std::string end = "[DONE]";
    struct Case
    {
        const char *name;
        std::vector<std::string> events;
        StreamFault expected;
        bool complete;
    };
    const std::vector<Case> cases{
        {"complete", {text, last, usage, end}, StreamFault::None, true},
        {"complete, with the engine's prefix", {prefixed, last, end}, StreamFault::None, true},
        {"no events", {}, StreamFault::Cut, false},
        {"no end mark", {text, last, usage}, StreamFault::Cut, false},
        {"end mark without a finish reason", {text, end}, StreamFault::Cut, false},
        {"a chunk of another request after the first chunk",
         {text, other},
         StreamFault::OtherRequest,
         false},
        {"the answer of another request", {other}, StreamFault::OtherRequest, false},
        {"text after the finish", {text, last, text}, StreamFault::AfterEnd, false},
        {"the answer sent twice", {text, last, end, text}, StreamFault::AfterEnd, false},
        {"token counts reported by the engine", {third, text, last, end}, StreamFault::None, true},
        {"a chunk with a token count sent twice", {third, third}, StreamFault::OutOfOrder, false},
        {"not JSON", {"{"}, StreamFault::Malformed, false},
        {"no choices", {R"({"id":"r1"})"}, StreamFault::Malformed, false},
        {"choices of the wrong type",
         {R"({"id":"r1","choices":[7]})"},
         StreamFault::Malformed,
         false},
        {"content of the wrong type",
         {R"({"id":"r1","choices":[{"delta":{"content":7}}]})"},
         StreamFault::Malformed,
         false},
        {"negative token count",
         {R"({"id":"r1","choices":[],"usage":{"completion_tokens":-1}})"},
         StreamFault::Malformed,
         false},
        {"an error", {text, R"({"error":{"message":"no"}})"}, StreamFault::UpstreamError, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        StreamCheck stream;
        stream.expectedId = "r1";
        StreamFault fault = StreamFault::None;
        for (const std::string &data : it.events) {
            if (fault == StreamFault::None)
                fault = check(stream, {{}, data}).fault;
        }
        if (fault == StreamFault::None)
            fault = faultAtEnd(stream);
        CHECK(streamFaultName(fault) == streamFaultName(it.expected));
        CHECK((fault == StreamFault::None) == it.complete);
    }
}

TEST_CASE("a chunk is rewritten in its id and text only")
{
    const std::string data =
        R"({"id":"a","model":"m","choices":[{"index":0,"delta":{"content":"xy"}}]})";
    CHECK(rewriteChunk(data, "b", std::string("y"))
          == R"({"id":"b","model":"m","choices":[{"index":0,"delta":{"content":"y"}}]})");
    CHECK(rewriteChunk(data, "", {}) == data);
}

TEST_CASE("the end of an event is found wherever the bytes are split")
{
    struct Case
    {
        const char *name;
        std::string bytes;
        std::size_t events;
        bool isInside;
    };
    const std::vector<Case> cases{
        {"nothing", "", 0, false},
        {"whole events", "id: 1\ndata: a\n\ndata: b\r\n\r\n", 2, false},
        {"carriage returns alone", "data: a\r\rdata: b\r\r", 2, false},
        {"inside a line", "data: a\n\nda", 1, true},
        {"before the blank line", "data: a\n\ndata: b\n", 1, true},
        {"a comment behind the events", "data: a\n\n: alive", 1, false},
        {"a comment inside an event", "data: a\n: alive\n", 0, true},
        {"blank lines only", "\n\n\r\n", 0, false},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        for (std::size_t split = 0; split <= it.bytes.size(); ++split) {
            EventBoundary boundary;
            boundary.feed(std::string_view(it.bytes).substr(0, split));
            boundary.feed(std::string_view(it.bytes).substr(split));
            CHECK(boundary.eventCount() == it.events);
            CHECK(boundary.isInsideEvent() == it.isInside);
        }
    }
}

TEST_CASE("a stream that ends inside an event, or without a length before any, is incomplete")
{
    const auto isComplete = [](const std::string &bytes, bool endsWithConnection) {
        EventBoundary boundary;
        boundary.feed(bytes);
        return isCompleteStream(boundary, endsWithConnection);
    };
    CHECK(isComplete("data: a\n\n", true));
    CHECK(isComplete("data: a\n\n", false));
    CHECK(isComplete("", false));
    CHECK_FALSE(isComplete("", true));
    CHECK_FALSE(isComplete(": alive\n\n", true));
    for (const bool endsWithConnection : {false, true})
        CHECK_FALSE(isComplete("data: a\n\nid: 2\nda", endsWithConnection));
}
