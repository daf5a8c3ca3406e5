#include "kumquathaven/runtime/httpserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace kumquathaven::runtime {

HttpReply errorReply(const Error &error, const std::string &requestId)
{
    nlohmann::ordered_json body;
    auto &item = body["error"];
    item["code"] = errorCodeName(error.code);
    item["message"] = error.message;
    item["type"] = httpStatus(error.code) < 500 ? "invalid_request_error" : "server_error";
    item["step"] = error.step;
    item["peer"] = error.peer;
    item["outcome"] = outcomeName(error.outcome);
    if (!requestId.empty())
        item["requestId"] = requestId;
    HttpReply reply;
    reply.status = httpStatus(error.code);
    if (error.retryAfter) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*error.retryAfter);
        item["retryAfterMs"] = ms.count();
        const auto seconds = std::max<std::int64_t>(1, (ms.count() + 999) / 1000);
        reply.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    return reply;
}

} // namespace kumquathaven::runtime
