#include "kumquathaven/http/message.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::http;

namespace {

ParseState parse(MessageSide side, const std::string &bytes, std::string &body)
{
    MessageParser parser(side);
    return parser.feed(bytes, body);
}

} // namespace

TEST_CASE("a request arrives byte by byte")
{
    const std::string bytes =
        "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET";
    MessageParser parser(MessageSide::Request);
    std::string body;
    std::size_t n = 0;
    while (parser.state() == ParseState::Open)
        parser.feed(bytes.substr(n++, 1), body);
    CHECK(parser.state() == ParseState::Done);
    CHECK(body == "abc");
    CHECK(parser.head().method == "POST");
    CHECK(pathOf(parser.head()) == "/a/b");
    CHECK(parser.head().keepsAlive);
    parser.feed(bytes.substr(n), body);
    CHECK(body == "abc");
    CHECK(parser.takeRest() == "GET");
}

TEST_CASE("ambiguous requests are malformed")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<std::string> rows{
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n",
        "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "Content-Length: -3\r\n\r\nabc",
        "Content-Length: 3x\r\n\r\nabc",
        "Content-Length : 3\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    };
    for (const std::string &it : rows) {
        CAPTURE(it);
        std::string body;
        CHECK(parse(MessageSide::Request, start + it, body) == ParseState::Malformed);
    }
}

TEST_CASE("bounds of head and body")
{
    std::string body;
    CHECK(parse(MessageSide::Request,
                "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n", body)
          == ParseState::HeadTooLarge);
    CHECK(parse(MessageSide::Request, "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", body)
          == ParseState::BodyTooLarge);
}

TEST_CASE("a chunked body loses its framing, and its trailer decides nothing")
{
    std::string body;
    MessageParser parser(MessageSide::Request);
    CHECK(parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Late: 1\r\n\r\n",
                      body)
          == ParseState::Done);
    CHECK(body == "abcde");
    CHECK(headerValue(parser.head().fields, "X-Late").empty());
}

TEST_CASE("an answer without a length ends with its connection")
{
    std::string body;
    MessageParser parser(MessageSide::Answer);
    CHECK(parser.feed("HTTP/1.1 200 OK\r\n\r\nabc", body) == ParseState::Open);
    CHECK(parser.head().endsWithConnection);
    CHECK(parser.finish() == ParseState::Done);
    CHECK(body == "abc");

    MessageParser counted(MessageSide::Answer);
    CHECK(counted.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", body)
          == ParseState::Open);
    CHECK(counted.finish() == ParseState::Malformed);

    MessageParser chunked(MessageSide::Answer);
    CHECK(chunked.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", body)
          == ParseState::Open);
    CHECK(chunked.finish() == ParseState::Malformed);
}

TEST_CASE("the length of an answer is known as soon as its head is")
{
    std::string body;
    MessageParser parser(MessageSide::Answer);
    CHECK(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", body) == ParseState::Open);
    REQUIRE(parser.hasHead());
    CHECK(parser.head().contentLength == 5U);
}

TEST_CASE("bytes after an answer are kept apart")
{
    std::string body;
    MessageParser parser(MessageSide::Answer);
    CHECK(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", body)
          == ParseState::Done);
    CHECK(body == "ok");
    CHECK(parser.takeRest() == "HTTP/1.1 200");
}

TEST_CASE("what is no answer is malformed")
{
    std::string body;
    CHECK(parse(MessageSide::Answer, "rubbish\r\n\r\n", body) == ParseState::Malformed);
}

TEST_CASE("bytes without an end are refused with a bounded buffer, whatever part they belong to")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"the status line", "HTTP/1.1 200 "},          {"no line at all", ""},
        {"a field", "HTTP/1.1 200 OK\r\nA: "},         {"the size of a chunk", chunked},
        {"an extension of a chunk", chunked + "3;x="}, {"a trailer", chunked + "0\r\nX-Late: "},
    };
    for (const auto &row : rows) {
        const auto &name = row.first;
        const auto &start = row.second;
        CAPTURE(name);
        for (const std::size_t step : {std::size_t{1}, std::size_t{1000}}) {
            MessageBounds bounds;
            bounds.maxHeadBytes = 4'000;
            MessageParser parser(MessageSide::Answer, bounds);
            std::string body;
            ParseState state = start.empty() ? ParseState::Open : parser.feed(start, body);
            std::size_t sent = 0;
            while (state == ParseState::Open && sent < 100'000) {
                state = parser.feed(std::string(step, '0'), body);
                sent += step;
            }
            CHECK(state != ParseState::Open);
            CHECK(state != ParseState::Done);
            CHECK(sent < 10'000);
            CHECK(body.empty());
        }
    }
}

TEST_CASE("fields without an end are refused")
{
    MessageParser parser(MessageSide::Answer);
    std::string body;
    ParseState state = parser.feed("HTTP/1.1 200 OK\r\n", body);
    for (int n = 0; n < 10'000 && state == ParseState::Open; ++n)
        state = parser.feed("X-A: 1\r\n", body);
    CHECK(state == ParseState::HeadTooLarge);
}

TEST_CASE("a body past its bound is refused, with a length, in chunks or without either")
{
    for (const std::string fields :
         {"Content-Length: 5000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1388\r\n", "\r\n"}) {
        MessageBounds bounds;
        bounds.maxBodyBytes = 1'000;
        MessageParser parser(MessageSide::Answer, bounds);
        std::string body;
        ParseState state = parser.feed("HTTP/1.1 200 OK\r\n" + fields, body);
        for (int n = 0; n < 50 && state == ParseState::Open; ++n)
            state = parser.feed(std::string(100, 'x'), body);
        CHECK(state == ParseState::BodyTooLarge);
        CHECK(body.size() <= 1'100);
    }
}

TEST_CASE("an answer has one status line, with a status that is one")
{
    for (const std::string line :
         {"HTTP/1.1 000 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None",
          "HTTP/1.1 1000 None", "HTTP/1.1 20 None", "HTTP/1.1 2xx None", "HTTP/1.1 -20 None",
          "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK"}) {
        CAPTURE(line);
        std::string body;
        CHECK(parse(MessageSide::Answer, line + "\r\nContent-Length: 2\r\n\r\nab", body)
              == ParseState::Malformed);
    }
    for (const std::string status : {"100", "200", "404", "599"}) {
        CAPTURE(status);
        std::string body;
        const std::string head = "HTTP/1.1 " + status + " Any\r\n";
        CHECK(parse(MessageSide::Answer, head + "Content-Length: 0\r\n\r\n", body)
              == ParseState::Done);
    }
}
