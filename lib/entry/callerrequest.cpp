#include "callerrequest.h"

#include "secretscan.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace kumquathaven::entry {

namespace {

using nlohmann::json;

constexpr int maxJsonDepth = 64;
constexpr std::uint32_t defaultOutputTokens = 1024;
constexpr std::uint32_t largestOutputTokens = 1000000;
constexpr std::uint32_t bytesPerToken = 4;
constexpr std::size_t maxIdempotencyKeyBytes = 255;

Error invalid(const std::string &message, ErrorCode code = ErrorCode::InvalidRequest)
{
    return {code, "entry.read", {}, message, Outcome::NotRun, {}};
}

// Parses a body as a JSON object whose nesting is bounded.
Result<json> parseBody(const std::string &text)
{
    bool isTooDeep = false;
    const auto checkDepth = [&](int depth, json::parse_event_t, json &) {
        isTooDeep = isTooDeep || depth > maxJsonDepth;
        return !isTooDeep;
    };
    json body = json::parse(text, checkDepth, false);
    if (isTooDeep)
        return fail(invalid("the body is nested too deeply"));
    if (!body.is_object())
        return fail(invalid("the body must be a JSON object"));
    return body;
}

void appendText(const json &content, std::string &text)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string &>();
        return;
    }
    if (!content.is_array())
        return;
    for (const auto &it : content) {
        if (it.is_string())
            text += it.get_ref<const std::string &>();
        if (it.is_object() && it.contains("text"))
            appendText(it["text"], text);
    }
}

// Returns the prompt as one text, each message after the name of its role.
Result<std::string> promptOf(const json &body, bool isChat)
{
    std::string text;
    if (!isChat) {
        if (!body.contains("prompt"))
            return fail(invalid("field \"prompt\" is missing"));
        appendText(body["prompt"], text);
        return text;
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
        return fail(invalid("field \"messages\" must be an array with at least one message"));
    for (const auto &it : body["messages"]) {
        if (!it.is_object() || !it.contains("role") || !it["role"].is_string())
            return fail(invalid("each message must be an object with a \"role\""));
        text += it["role"].get_ref<const std::string &>() + "\n";
        if (it.contains("content"))
            appendText(it["content"], text);
        text += "\n";
    }
    return text;
}

Result<std::uint32_t> outputTokensOf(const json &body, const catalogue::Route &route)
{
    std::uint32_t limit = defaultOutputTokens;
    for (const char *field : {"max_completion_tokens", "max_tokens"}) {
        if (!body.contains(field) || body[field].is_null())
            continue;
        if (!body[field].is_number_unsigned() || body[field] == 0U
            || body[field].get<std::uint64_t>() > largestOutputTokens)
            return fail(invalid(std::string("field \"") + field
                                + "\" must be a whole number from 1 to "
                                + std::to_string(largestOutputTokens)));
        limit = body[field].get<std::uint32_t>();
        break;
    }
    const std::uint32_t allowed = route.head.limits.maxOutputTokens;
    return allowed > 0 ? std::min(limit, allowed) : limit;
}

const catalogue::Route *routeOfModel(const catalogue::Catalogue &catalogue,
                                     const std::string &model)
{
    for (const auto &[name, route] : catalogue.routes) {
        if (!route.model.empty() && route.model == model)
            return &route;
    }
    return nullptr;
}

bool isUnder(const std::string &path, const std::string &prefix)
{
    return path.compare(0, prefix.size(), prefix) == 0
        && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

// Returns the route with the longest prefix of the path.
const catalogue::Route *routeOfPath(const catalogue::Catalogue &catalogue, const std::string &path)
{
    const catalogue::Route *best = nullptr;
    for (const auto &[name, route] : catalogue.routes) {
        if (route.pathPrefix.empty() || !isUnder(path, route.pathPrefix))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

// An adapter is asked for as "model:adapter".
void splitModel(const std::string &name, CallerRequest &request)
{
    const std::size_t colon = name.find(':');
    request.model = name.substr(0, colon);
    request.adapter = colon == std::string::npos ? "" : name.substr(colon + 1);
}

Result<void> readEngineRequest(const runtime::HttpRequest &http,
                               const catalogue::Catalogue &catalogue, CallerRequest &request)
{
    if (http.method != "POST")
        return fail(invalid("the method must be POST"));
    BOOST_LEAF_AUTO(body, parseBody(http.body));
    if (!body.contains("model") || !body["model"].is_string())
        return fail(invalid("field \"model\" must be a string"));
    splitModel(body["model"], request);
    request.route = routeOfModel(catalogue, request.model);
    if (request.route == nullptr)
        return fail(invalid("no route serves this model", ErrorCode::NotFound));
    if (body.contains("stream") && !body["stream"].is_boolean() && !body["stream"].is_null())
        return fail(invalid("field \"stream\" must be a boolean"));
    request.streams = body.contains("stream") && body["stream"] == true;
    BOOST_LEAF_ASSIGN(request.promptText, promptOf(body, http.path == "/v1/chat/completions"));
    BOOST_LEAF_ASSIGN(request.maxOutputTokens, outputTokensOf(body, *request.route));
    request.promptTokens = estimateTokens(request.promptText);
    body["max_tokens"] = request.maxOutputTokens;
    body.erase("max_completion_tokens");
    // Whose cache is used and what goes first is not the caller's to say.
    body.erase("cache_salt");
    body.erase("priority");
    // Engines report the tokens of a stream only when asked to.
    if (request.streams)
        body["stream_options"] = {{"include_usage", true}};
    request.target = http.path;
    request.contentType = "application/json";
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return {};
}

Result<void> readServiceRequest(const runtime::HttpRequest &http,
                                const catalogue::Catalogue &catalogue, CallerRequest &request)
{
    request.route = routeOfPath(catalogue, http.path);
    if (request.route == nullptr)
        return fail(invalid("no route serves this path", ErrorCode::NotFound));
    request.target = http.path + (http.query.empty() ? "" : "?" + http.query);
    request.contentType = runtime::headerValue(http.headers, "Content-Type");
    request.body = http.body;
    request.promptTokens = estimateTokens(http.body);
    return {};
}

std::uint32_t attemptOf(const runtime::HttpRequest &http)
{
    // Client libraries in use name their attempt counters differently.
    for (const char *field : {"X-Attempt", "X-Retry-Count", "x-stainless-retry-count"}) {
        const std::string text = runtime::headerValue(http.headers, field);
        std::uint32_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (!text.empty() && parsed.ec == std::errc())
            return number;
    }
    return 0;
}

bool containsKey(const CallerRequest &request, const std::string &key)
{
    return textContains(request.body, key) || textContains(request.target, key)
        || textContains(request.contentType, key) || textContains(request.idempotencyKey, key);
}

} // namespace

std::string shownKey(const runtime::HttpRequest &request)
{
    const std::string value = runtime::headerValue(request.headers, "Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (value.size() <= scheme.size()
        || !runtime::sameFieldName(value.substr(0, scheme.size()), std::string(scheme)))
        return {};
    return value.substr(scheme.size());
}

std::uint32_t estimateTokens(const std::string &text)
{
    return static_cast<std::uint32_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

Result<CallerRequest> readCallerRequest(const runtime::HttpRequest &http,
                                        const catalogue::Catalogue &catalogue, TimePoint now)
{
    CallerRequest request;
    request.arrivedAt = now;
    request.method = http.method;
    const auto parent =
        telemetry::parseTraceparent(runtime::headerValue(http.headers, "traceparent"));
    request.trace = telemetry::childContext(parent);
    request.parentSpanId = parent ? parent->spanId : "";
    request.requestId = "req-" + request.trace.traceId.substr(0, 8) + request.trace.spanId;
    request.idempotencyKey = runtime::headerValue(http.headers, "Idempotency-Key");
    if (request.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return fail(invalid("the Idempotency-Key has more than 255 bytes"));
    request.attempt = attemptOf(http);
    if (http.path == "/v1/chat/completions" || http.path == "/v1/completions")
        BOOST_LEAF_CHECK(readEngineRequest(http, catalogue, request));
    else
        BOOST_LEAF_CHECK(readServiceRequest(http, catalogue, request));
    const std::string key = shownKey(http);
    if (!key.empty() && containsKey(request, key))
        return fail(invalid("the caller's key may stand only in the Authorization header"));
    request.serviceClass = request.route->head.serviceClass;
    return request;
}

} // namespace kumquathaven::entry
