#include "kumquathaven/answers/relay.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace kumquathaven;
using namespace kumquathaven::answers;

namespace {

constexpr std::uint64_t answerTokens = 5;

/// Returns token \p n of the answer for a weights version. Versions 1 and 1b differ only from token
/// 3 on.
std::string tokenText(const std::string &version, std::uint64_t n)
{
    const bool differs = version == "2" || (version == "1b" && n >= 3);
    return " t" + std::to_string(n) + (differs ? "\xc3\xa4" : "\xc3\xb6");
}

std::string fullText(const std::string &version)
{
    std::string text;
    for (std::uint64_t n = 0; n < answerTokens; ++n)
        text += tokenText(version, n);
    return text;
}

/// Returns the complete stream that an engine sends, with the text from token \p from on.
std::string engineStream(const std::string &id, const std::string &version, std::uint64_t from)
{
    std::string out;
    const auto chunk = [&](const nlohmann::json &delta, const nlohmann::json &reason) {
        const nlohmann::json value = {
            {"id", id}, {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
        out += "data: " + value.dump() + "\n\n";
    };
    chunk({{"role", "assistant"}, {"content", ""}}, nullptr);
    for (std::uint64_t n = from; n < answerTokens; ++n)
        chunk({{"content", tokenText(version, n)}}, nullptr);
    chunk(nlohmann::json::object(), "length");
    const nlohmann::json usage = {{"id", id},
                                  {"choices", nlohmann::json::array()},
                                  {"usage", {{"completion_tokens", answerTokens}}}};
    return out + "data: " + usage.dump() + "\n\ndata: [DONE]\n\n";
}

/// What the caller received, parsed with the same checks that apply to engines.
struct Received
{
    std::string text;
    bool complete = false;
    bool error = false;
    int roles = 0;
    int finishes = 0;
};

Received receive(const std::string &bytes)
{
    Received received;
    SseParser parser;
    StreamCheck stream;
    stream.expectedId = "caller";
    for (const SseEvent &it : parser.feed(bytes)) {
        REQUIRE_MESSAGE(!received.complete, "no event may follow the end mark");
        REQUIRE_MESSAGE(!received.error, "no event may follow the error");
        if (it.name == "error") {
            received.error = true;
            continue;
        }
        const CheckedEvent event = check(stream, it);
        REQUIRE(streamFaultName(event.fault) == "none");
        received.complete = event.done;
        received.text += event.chunk.text;
        received.roles += event.chunk.hasRole ? 1 : 0;
        received.finishes += event.chunk.finishes ? 1 : 0;
    }
    CHECK_FALSE(parser.insideEvent());
    return received;
}

/// One attempt: the weights version and the faults of the engine that runs it.
struct Attempt
{
    std::string version = "1";
    /// Injects a fault into the bytes of the stream.
    std::function<std::string(std::string)> fault;
    bool ignoresResume = false;
};

std::string truncateAt(std::string bytes, std::size_t n)
{
    bytes.resize(std::min(n, bytes.size()));
    return bytes;
}

/// Relays an answer over several attempts, each on an engine with the attempt's weights version.
/// The only candidate after a fault is the engine of the next attempt.
Received run(const std::vector<Attempt> &attempts, bool repeatable = true, bool canResume = true)
{
    Relay relay;
    relay.callerId = "caller";
    relay.weightsVersion = attempts.front().version;
    relay.check.expectedId = "caller.0";
    std::string caller;
    std::uint64_t from = 0;
    for (std::size_t n = 0; n < attempts.size(); ++n) {
        const Attempt &attempt = attempts[n];
        const std::string id = "caller." + std::to_string(n);
        std::string bytes = engineStream(id, attempt.version, attempt.ignoresResume ? 0 : from);
        if (attempt.fault)
            bytes = attempt.fault(bytes);
        // The bytes are fed in two parts, so that events are also split.
        for (const std::string &part :
             {bytes.substr(0, 70), bytes.substr(std::min<std::size_t>(70, bytes.size()))}) {
            for (const std::string &it : feed(relay, part).events)
                caller += it;
        }
        endAttempt(relay);
        std::vector<Candidate> candidates;
        if (n + 1 < attempts.size())
            candidates.push_back({"engine", attempts[n + 1].version, canResume});
        const Recovery recovery = recover(relay, repeatable, candidates);
        for (const std::string &it : recovery.events)
            caller += it;
        if (recovery.kind == RecoveryKind::Complete || recovery.kind == RecoveryKind::End) {
            CHECK((recovery.kind == RecoveryKind::End) == recovery.error.has_value());
            break;
        }
        from = recovery.resumeFrom;
        startAttempt(relay, recovery, "caller." + std::to_string(n + 1), attempts[n + 1].version);
    }
    return receive(caller);
}

void checkComplete(const Received &received, const std::string &text)
{
    CHECK(received.complete);
    CHECK_FALSE(received.error);
    CHECK(received.text == text);
    CHECK(received.roles == 1);
    CHECK(received.finishes == 1);
}

/// Checks that an answer ended with an error and that its text is a prefix of \p text.
void checkFailed(const Received &received, const std::string &text)
{
    CHECK(received.error);
    CHECK_FALSE(received.complete);
    CHECK(text.compare(0, received.text.size(), received.text) == 0);
}

} // namespace

TEST_CASE("a stream cut at any byte is complete for the caller after a recovery")
{
    const std::string text1 = fullText("1");
    const std::size_t size = engineStream("caller.0", "1", 0).size();
    for (std::size_t n = 0; n <= size; ++n) {
        CAPTURE(n);
        const Attempt broken{"1",
                             [n](std::string bytes) {
                                 return truncateAt(std::move(bytes), n);
                             },
                             false};
        checkComplete(run({broken, {"1", {}, false}}), text1);
        checkComplete(run({broken, {"1", {}, false}}, true, false), text1);
        // An engine with another weights version may continue the answer only if its text matches
        // the text that the caller already has.
        const Received other = run({broken, {"2", {}, false}});
        if (other.error)
            checkFailed(other, text1);
        else
            checkComplete(other,
                          other.text.find("\xc3\xa4") == std::string::npos ? text1 : fullText("2"));
        const Received partlyEqual = run({broken, {"1b", {}, false}});
        if (partlyEqual.error)
            checkFailed(partlyEqual, text1);
        else
            checkComplete(partlyEqual, partlyEqual.text == text1 ? text1 : fullText("1b"));
        const Received notRepeatable = run({broken, {"1", {}, false}}, false);
        if (notRepeatable.error)
            checkFailed(notRepeatable, text1);
        else
            checkComplete(notRepeatable, text1);
    }
}

TEST_CASE("a stream cut twice is complete, and one cut too often ends with an error")
{
    const std::string text1 = fullText("1");
    const std::size_t size = engineStream("caller.0", "1", 0).size();
    for (std::size_t a = 0; a < size; a += 17) {
        for (std::size_t b = 0; b < size; b += 19) {
            CAPTURE(a);
            CAPTURE(b);
            const Attempt first{"1",
                                [a](std::string bytes) {
                                    return truncateAt(std::move(bytes), a);
                                },
                                false};
            const Attempt second{"1",
                                 [b](std::string bytes) {
                                     return truncateAt(std::move(bytes), b);
                                 },
                                 false};
            checkComplete(run({first, second, {"1", {}, false}}), text1);
            checkComplete(run({first, second, {"1", {}, false}}, true, false), text1);
        }
    }
    const Attempt cut{"1",
                      [](std::string bytes) {
                          return truncateAt(std::move(bytes), 300);
                      },
                      false};
    const Received never = run({cut, cut, cut, cut, cut, cut}, true, false);
    checkFailed(never, text1);
}

TEST_CASE("late, repeated, crossed and false answers never reach the caller")
{
    const std::string text1 = fullText("1");
    // Inserts an event of another request at the first event boundary at or after a position.
    const auto cross = [](std::string bytes, std::size_t from) {
        const std::size_t at = from == 0 ? 0 : bytes.find("\n\n", from) + 2;
        return bytes.insert(
            at,
            R"(data: {"id":"foreign","choices":[{"index":0,"delta":{"content":"x"}}]})"
            "\n\n");
    };
    struct Case
    {
        const char *name;
        std::function<std::string(std::string)> fault;
    };
    const std::vector<Case> cases{
        {"event of another request at the start",
         [&](std::string bytes) {
             return cross(std::move(bytes), 0);
         }},
        {"event of another request in the middle",
         [&](std::string bytes) {
             return cross(std::move(bytes), 300);
         }},
        {"complete answer sent twice",
         [](const std::string &bytes) {
             return bytes + bytes;
         }},
        {"another answer after the end",
         [](const std::string &bytes) {
             return bytes + engineStream("caller.9", "2", 0);
         }},
        {"garbage",
         [](std::string bytes) {
             return bytes.insert(300, "\n\ndata: \xff{\n\n");
         }},
        {"an error event",
         [](std::string bytes) {
             return truncateAt(std::move(bytes), 150) + "\n\ndata: {\"error\":{}}\n\n";
         }},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        checkComplete(run({{"1", it.fault, false}, {"1", {}, false}}), text1);
    }
    // Late events of the first attempt arrive in the second attempt's stream.
    const auto late = [](const std::string &bytes) {
        return engineStream("caller.0", "1", 2) + bytes;
    };
    const Attempt cut{"1",
                      [](std::string bytes) {
                          return truncateAt(std::move(bytes), 300);
                      },
                      false};
    checkComplete(run({cut, {"1", late, false}, {"1", {}, false}}), text1);
}

TEST_CASE("an engine that ignores the resume position is detected before the end mark")
{
    const Attempt cut{"1",
                      [](std::string bytes) {
                          return truncateAt(std::move(bytes), 400);
                      },
                      false};
    const Received received = run({cut, {"1", {}, true}});
    CHECK(received.error);
    CHECK_FALSE(received.complete);
}

TEST_CASE("an answer with content that a token position does not describe is not continued")
{
    const std::string tool =
        R"(data: {"id":"e","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]})"
        "\n\n";
    const std::string second = R"(data: {"id":"e","choices":[{"index":1,"delta":{"content":"x"}}]})"
                               "\n\n";
    for (const std::string &it : {tool, second}) {
        Relay relay;
        relay.weightsVersion = "1";
        CHECK(feed(relay, it).events.size() == 1);
        CHECK(endAttempt(relay) == StreamFault::Cut);
        const Recovery recovery = recover(relay, true, {{"engine", "1", true}});
        CHECK(recovery.kind == RecoveryKind::End);
        CHECK(recovery.error->outcome == Outcome::Ran);
    }
}

TEST_CASE("text above the size limit is resumed by position and never compared")
{
    Relay relay;
    relay.limits.maxTextBytes = 8;
    relay.weightsVersion = "1";
    feed(relay, truncateAt(engineStream("e", "1", 0), 400));
    endAttempt(relay);
    CHECK_FALSE(relay.hasFullText);
    CHECK(recover(relay, true, {{"a", "1", true}}).kind == RecoveryKind::Resume);
    CHECK(recover(relay, true, {{"a", "1", false}}).kind == RecoveryKind::End);
    CHECK(recover(relay, true, {{"a", "2", true}}).kind == RecoveryKind::End);
}
