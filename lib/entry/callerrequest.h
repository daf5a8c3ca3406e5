// Turns a caller's HTTP request into the typed request that every later step works on.

#ifndef KUMQUATHAVEN_LIB_ENTRY_CALLERREQUEST_H
#define KUMQUATHAVEN_LIB_ENTRY_CALLERREQUEST_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/runtime/http.h"
#include "kumquathaven/telemetry/trace.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquathaven::entry {

/// A request after its route is known. Nothing in it holds the caller's key.
struct CallerRequest
{
    /// Unique for each arrival; upstreams echo it.
    std::string requestId;
    /// The route in the catalogue; lives as long as the catalogue the request was read with.
    const catalogue::Route *route = nullptr;
    /// Empty on a route that is open to all.
    std::string customer;
    std::string keyName;
    catalogue::ServiceClass serviceClass = catalogue::ServiceClass::Standard;
    /// When the first token must be there at the latest.
    std::optional<TimePoint> deadline;
    /// Engines: what the body asks for.
    std::string model;
    std::string adapter;
    bool streams = false;
    /// The prompt's text, all messages in their order, for prefix identity and the token estimate.
    std::string promptText;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    /// The caller's own mark of a request it may send again. Empty if there is none.
    std::string idempotencyKey;
    /// 0 for a first attempt, as far as the caller says so.
    std::uint32_t attempt = 0;
    telemetry::TraceContext trace;
    std::string parentSpanId;
    std::string method;
    /// Path and query for the upstream.
    std::string target;
    std::string contentType;
    std::string body;
    TimePoint arrivedAt;
    /// The token from which an engine is to go on, and the weights version it must have for that.
    std::uint64_t resumeFrom = 0;
    std::string resumeVersion;
};

/// Returns the key in an "Authorization: Bearer" header, or an empty string.
std::string shownKey(const runtime::HttpRequest &request);

/// Finds the route and reads the request. Fails with NotFound, InvalidRequest or TooLarge, always
/// with outcome NotRun. The customer is filled in by authentication.
Result<CallerRequest> readCallerRequest(const runtime::HttpRequest &request,
                                        const catalogue::Catalogue &catalogue, TimePoint now);

/// Returns the estimated tokens of a text: one for each four bytes, rounded up.
std::uint32_t estimateTokens(const std::string &text);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_CALLERREQUEST_H
