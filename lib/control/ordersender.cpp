#include "ordersender.h"

#include "kumquathaven/runtime/httpclient.h"

#include <nlohmann/json.hpp>

namespace kumquathaven::control {

namespace {

using nlohmann::json;

constexpr Duration connectTimeout = std::chrono::milliseconds(500);
constexpr Duration answerTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxAnswerBytes = std::size_t(64) * 1024;
constexpr std::size_t maxReasonBytes = 128;

std::string bodyOf(const routing::Order &order)
{
    json fields{{"id", order.id}, {"kind", nameOf(routing::orderKindNames, order.kind)}};
    if (order.kind == routing::OrderKind::Load) {
        fields["version"] = order.weightsVersion;
        fields["adapters"] = order.adapters;
    } else {
        fields["role"] = order.role;
    }
    return json{{"fence", order.fence}, {"order", fields}}.dump();
}

/// Returns the reason in the body of a refusal, or the HTTP status if there is none.
std::string reasonOf(int status, const std::string &body)
{
    const json value = json::parse(body, nullptr, false);
    if (value.is_object()) {
        const auto it = value.find("reason");
        if (it != value.end() && it->is_string())
            return it->get<std::string>().substr(0, maxReasonBytes);
    }
    return "status " + std::to_string(status);
}

Result<SendReport> readAnswer(runtime::HttpCall &call)
{
    BOOST_LEAF_AUTO(isReady, call.waitForHead(answerTimeout));
    if (!isReady)
        return SendReport{SendResult::Unknown, "no answer from the upstream"};
    BOOST_LEAF_CHECK(call.readHead());
    std::string body;
    while (body.size() < maxAnswerBytes) {
        BOOST_LEAF_AUTO(part, call.read(answerTimeout));
        if (part.state != runtime::ReadState::Data)
            break;
        body += part.data;
    }
    constexpr int okStatus = 200;
    if (call.status() == okStatus)
        return SendReport{SendResult::Accepted, {}};
    return SendReport{SendResult::Refused, reasonOf(call.status(), body)};
}

} // namespace

SendReport sendOrder(const catalogue::Upstream &upstream, const routing::Order &order,
                     TimePoint permittedUntil)
{
    runtime::HttpCall call(settings::parseAddress(upstream.address),
                           {connectTimeout, answerTimeout});
    runtime::HeaderFields headers{{"Content-Type", "application/json"}};
    if (!upstream.credential.empty())
        headers.emplace_back("Authorization", "Bearer " + upstream.credential);
    SendResult onFailure = SendResult::NotSent;
    return orElse(
        [&]() -> Result<SendReport> {
            BOOST_LEAF_CHECK(call.connect());
            // The process may have been suspended since it proposed the order.
            if (monotonicNow() >= permittedUntil)
                return SendReport{SendResult::NotSent,
                                  "the permission to send the order has expired"};
            onFailure = SendResult::Unknown;
            BOOST_LEAF_CHECK(call.send("POST", "/orders", headers, bodyOf(order)));
            return readAnswer(call);
        },
        [&](const Error &error) {
            return SendReport{onFailure, error.message};
        });
}

} // namespace kumquathaven::control
