// The error type of all libraries: a stable code, the step that failed and the peer.

#ifndef KUMQUATHAVEN_BASE_ERROR_H
#define KUMQUATHAVEN_BASE_ERROR_H

#include "kumquathaven/base/outcome.h"
#include "kumquathaven/base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace kumquathaven {

/// Stable error codes. Their names are part of the callers' and operators' interfaces.
enum class ErrorCode {
    InvalidRequest,
    TooLarge,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    RateLimited,
    Overloaded,
    DeadlineExceeded,
    NoUpstream,
    UpstreamFailed,
    StaleConfiguration,
    NotLeader,
    Unavailable,
    Storage,
    Corrupt,
    Timeout,
    Cancelled,
    Internal,
    /// The request is likely to crash the server that runs it, and must not be sent again.
    Quarantined,
};

/// Returns the name of a code, for example "rateLimited".
std::string_view errorCodeName(ErrorCode code);

/// Returns the HTTP status that corresponds to a code.
int httpStatus(ErrorCode code);

/// An error with the step and the peer at which it occurred. It is the error object of a Result.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    /// The operation that failed, for example "limits.reserve" or "upstream.connect".
    std::string step;
    /// The other side of the operation: an address, an upstream's name or a file. Empty if there is
    /// none.
    std::string peer;
    /// One sentence in lower case without a full stop.
    std::string message;
    /// Whether the request ran. NotRun may be set only if it certainly did not run.
    Outcome outcome = Outcome::NotRun;
    /// The time after which the caller should retry, if it is known.
    std::optional<Duration> retryAfter;
};

/// Returns "code at step (peer): message" for logs.
std::string describe(const Error &error);

} // namespace kumquathaven

#endif // KUMQUATHAVEN_BASE_ERROR_H
