#include "caller.h"

#include "kumquathaven/base/hash.h"
#include "kumquathaven/runtime/httpclient.h"

#include <Poco/String.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <thread>

namespace kumquathaven::load {

namespace {

using nlohmann::json;

/// Attempts at other entries after one refused the connection.
constexpr std::uint32_t maxUnreachable = 5;
constexpr runtime::CallTimeouts connectTimeouts{std::chrono::seconds(5), std::chrono::seconds(5)};

struct Attempted
{
    CallResult result;
    std::optional<Duration> retryAfter;
};

/// One attempt to be made.
struct AttemptPlan
{
    settings::Address target;
    /// How many refusals came before.
    std::uint32_t retry = 0;
    /// When the request was due.
    TimePoint due{};
};

std::string bodyOf(const CallOptions &options, const Arrival &arrival)
{
    const json message = {{"role", "user"}, {"content", promptText(arrival)}};
    const json body = {{"model", options.model},
                       {"stream", true},
                       {"max_tokens", options.maxTokens},
                       {"messages", json::array({message})}};
    return body.dump();
}

runtime::HeaderFields headersOf(const CallOptions &options, const Arrival &arrival,
                                std::uint32_t attempt)
{
    runtime::HeaderFields headers{{"Content-Type", "application/json"}};
    const std::string &key = options.keys.at(arrival.customer % options.keys.size());
    if (!key.empty())
        headers.emplace_back("Authorization", "Bearer " + key);
    if (attempt > 0)
        headers.emplace_back("X-Attempt", std::to_string(attempt));
    return headers;
}

std::string headerValue(const runtime::HeaderFields &headers, const std::string &name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const auto &field) {
        return Poco::icompare(field.first, name) == 0;
    });
    return it == headers.end() ? std::string() : it->second;
}

std::uint64_t numberAt(const json &value, const json::json_pointer &path)
{
    return value.contains(path) && value[path].is_number_unsigned()
        ? value[path].get<std::uint64_t>()
        : 0;
}

void readUsage(const std::string &text, CallResult &result)
{
    const std::size_t at = text.rfind("data: {");
    const std::size_t usage = text.rfind("\"usage\":{");
    if (at == std::string::npos || usage == std::string::npos)
        return;
    const std::size_t begin = text.rfind("data: ", usage) + 6;
    const auto event =
        json::parse(text.substr(begin, text.find("\n\n", begin) - begin), nullptr, false);
    if (!event.is_object())
        return;
    result.promptTokens = numberAt(event, "/usage/prompt_tokens"_json_pointer);
    result.completionTokens = numberAt(event, "/usage/completion_tokens"_json_pointer);
    result.cachedTokens =
        numberAt(event, "/usage/prompt_tokens_details/cached_tokens"_json_pointer);
}

void readRefusal(const std::string &text, Attempted &attempted)
{
    attempted.result.result = "failed";
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return;
    attempted.result.result = body["error"].value("code", "failed");
    if (body["error"].contains("retryAfterMs"))
        attempted.retryAfter = std::chrono::milliseconds(body["error"]["retryAfterMs"]);
}

Result<void> exchange(const CallOptions &options, const Arrival &arrival, const AttemptPlan &plan,
                      Attempted &attempted)
{
    CallResult &result = attempted.result;
    const TimePoint start = plan.due;
    const std::string body = bodyOf(options, arrival);
    runtime::HttpCall call(plan.target, {connectTimeouts.connect, options.silence});
    attempted.result.result = "unreachable";
    BOOST_LEAF_CHECK(call.connect());
    attempted.result.result = "failed";
    BOOST_LEAF_CHECK(
        call.send("POST", "/v1/chat/completions", headersOf(options, arrival, plan.retry), body));
    BOOST_LEAF_AUTO(isReady, call.waitForHead(options.silence));
    if (!isReady)
        return {};
    BOOST_LEAF_CHECK(call.readHead());
    result.status = call.status();
    result.upstream = headerValue(call.headers(), "x-kumquathaven-upstream");
    result.choice = headerValue(call.headers(), "x-kumquathaven-choice");
    std::string text;
    TimePoint last = start;
    while (true) {
        BOOST_LEAF_AUTO(part, call.read(options.silence));
        if (part.state != runtime::ReadState::Data)
            break;
        const TimePoint now = monotonicNow();
        if (text.empty())
            result.firstToken = now - start;
        else
            result.longestGap = std::max<Duration>(result.longestGap, now - last);
        last = now;
        text += part.data;
    }
    result.whole = monotonicNow() - start;
    if (result.status != 200) {
        readRefusal(text, attempted);
        return {};
    }
    constexpr std::string_view done = "data: [DONE]\n\n";
    const bool isWhole = text.size() >= done.size()
        && text.compare(text.size() - done.size(), done.size(), done) == 0;
    result.result = isWhole ? "whole" : "cut";
    readUsage(text, result);
    return {};
}

Attempted attemptOnce(const CallOptions &options, const Arrival &arrival, const AttemptPlan &plan)
{
    Attempted attempted;
    attempted.result.customer = arrival.customer;
    attempted.result.isStorm = arrival.isStorm;
    orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(exchange(options, arrival, plan, attempted));
            return true;
        },
        [&](const Error &) {
            return false;
        });
    return attempted;
}

bool isRefusal(const CallResult &result)
{
    return result.status == 429 || result.status == 503;
}

Duration waitBefore(const CallOptions &options, const Arrival &arrival, const Attempted &attempted)
{
    const bool honours = options.honoursRetryAfter && !arrival.isStorm;
    return honours ? attempted.retryAfter.value_or(options.retryDelay) : options.retryDelay;
}

} // namespace

CallResult callOnce(const CallOptions &options, EntryList &entries, const Arrival &arrival,
                    std::size_t number, const CallTimes &times)
{
    std::vector<AttemptRecord> attempts;
    std::uint32_t unreachable = 0;
    // The first attempt of a storm's retry was before the load.
    const std::uint32_t earlier = arrival.isStorm ? 1 : 0;
    std::uint32_t refusals = 0;
    while (true) {
        const std::uint64_t draw = combineHash(number, attempts.size());
        const AttemptPlan plan{entries.pick(draw), earlier + refusals, times.due};
        const Duration at = monotonicNow() - times.loadStart;
        Attempted attempted = attemptOnce(options, arrival, plan);
        CallResult &result = attempted.result;
        attempts.push_back({at, result.result});
        const bool isUnreachable = result.result == "unreachable";
        const bool mayTryAgain = isUnreachable ? ++unreachable <= maxUnreachable
                                               : isRefusal(result) && refusals++ < options.retries;
        if (!mayTryAgain) {
            result.number = number;
            result.due = times.due - times.loadStart;
            result.attempts = std::move(attempts);
            return result;
        }
        if (isUnreachable)
            entries.avoid(plan.target);
        else
            std::this_thread::sleep_for(waitBefore(options, arrival, attempted));
    }
}

} // namespace kumquathaven::load
