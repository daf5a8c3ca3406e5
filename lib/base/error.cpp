#include "kumquathaven/base/error.h"

#include "kumquathaven/base/enumnames.h"

namespace kumquathaven {

namespace {

constexpr std::array<EnumName<ErrorCode>, 20> errorCodeNames{{
    {ErrorCode::InvalidRequest, "invalidRequest"},
    {ErrorCode::TooLarge, "tooLarge"},
    {ErrorCode::Unauthenticated, "unauthenticated"},
    {ErrorCode::Forbidden, "forbidden"},
    {ErrorCode::NotFound, "notFound"},
    {ErrorCode::Conflict, "conflict"},
    {ErrorCode::RateLimited, "rateLimited"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::DeadlineExceeded, "deadlineExceeded"},
    {ErrorCode::NoUpstream, "noUpstream"},
    {ErrorCode::UpstreamFailed, "upstreamFailed"},
    {ErrorCode::StaleConfiguration, "staleConfiguration"},
    {ErrorCode::NotLeader, "notLeader"},
    {ErrorCode::Unavailable, "unavailable"},
    {ErrorCode::Storage, "storage"},
    {ErrorCode::Corrupt, "corrupt"},
    {ErrorCode::Timeout, "timeout"},
    {ErrorCode::Cancelled, "cancelled"},
    {ErrorCode::Internal, "internal"},
    {ErrorCode::Quarantined, "quarantined"},
}};

} // namespace

std::string_view errorCodeName(ErrorCode code)
{
    return nameOf(errorCodeNames, code);
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::Quarantined:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::RateLimited:
        return 429;
    case ErrorCode::Cancelled:
        return 499;
    case ErrorCode::UpstreamFailed:
        return 502;
    case ErrorCode::Overloaded:
    case ErrorCode::NoUpstream:
    case ErrorCode::StaleConfiguration:
    case ErrorCode::NotLeader:
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Storage:
    case ErrorCode::Corrupt:
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

std::string describe(const Error &error)
{
    std::string text(errorCodeName(error.code));
    text += " at " + error.step;
    if (!error.peer.empty())
        text += " (" + error.peer + ")";
    return text + ": " + error.message;
}

} // namespace kumquathaven
