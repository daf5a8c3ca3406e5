// The interface to a platform: functions that convert between the platform's messages and the types
// of this project. A dialect makes no decisions and has no timers or retries.

#ifndef KUMQUATHAVEN_DEPLOYMENT_DIALECT_H
#define KUMQUATHAVEN_DEPLOYMENT_DIALECT_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/deployment/request.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/runtime/http.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::deployment {

/// An operator submits a declaration, which has been validated completely.
struct DeclareCall
{
    std::uint64_t version = 0;
    std::string text;
};

/// An operator reads the newest declaration.
struct ReadDeclarationCall
{ };

/// An operator announces a version of a model's weights to be rolled out.
struct SetWeightsVersionCall
{
    std::string model;
    std::uint64_t version = 0;
};

/// An operator orders the rollout of a release of a service's software.
struct StartRolloutCall
{
    std::string service;
    std::string release;
    Duration limit{0};
};

/// An operator reads the state of the last rollout of a service.
struct ReadRolloutCall
{
    std::string service;
};

using OperatorCall = std::variant<DeclareCall, ReadDeclarationCall, SetWeightsVersionCall,
                                  StartRolloutCall, ReadRolloutCall>;

/// A caller looks up the entries that it should use.
struct DirectoryCall
{
    std::string region;
    std::string failureDomain;
};

/// Parses and answers calls of operators, and lookups of entries by callers.
struct ControlDialect
{
    /// Parses and validates a declaration. Fails with InvalidRequest and the first problem.
    Result<Plan> (*readPlan)(const std::string &text);
    /// Parses a call of an operator. Errors: NotFound, InvalidRequest.
    Result<OperatorCall> (*readOperatorCall)(const runtime::HttpRequest &request);
    runtime::HttpReply (*acknowledge)();
    runtime::HttpReply (*replyWithDeclaration)(const std::string &text);
    /// Redirects an operator to another control member, given as "host:port".
    runtime::HttpReply (*redirect)(const std::string &member, const runtime::HttpRequest &request);
    runtime::HttpReply (*refuse)(const Error &error);
    Result<DirectoryCall> (*readDirectoryCall)(const runtime::HttpRequest &request);
    runtime::HttpReply (*replyWithRollout)(const catalogue::ServiceRollout &rollout);
    runtime::HttpReply (*replyWithEntries)(const std::vector<std::string> &addresses, Duration ttl);
};

/// Converts the heads of requests that are forwarded to servers, and of their answers.
struct RequestDialect
{
    /// Path of the platform's readiness probe.
    std::string readinessPath;
    /// Parses the head of a caller's request. Fails with InvalidRequest if a field that affects a
    /// decision is malformed.
    Result<CallerHead> (*readHead)(const runtime::HeaderFields &fields);
    /// Returns the header fields that are sent to a server: the caller's, without those that only
    /// the system may set or that concern one connection, and those of \p context.
    runtime::HeaderFields (*forwardFields)(const runtime::HeaderFields &fields,
                                           const ForwardingContext &context);
    AnswerHead (*readAnswer)(int status, const runtime::HeaderFields &fields);
    runtime::HttpReply (*refuse)(const Error &error);
};

/// Reads the platform's list of servers, and the servers' reports and answers to orders.
struct ServerDialect
{
    std::string (*listPath)(const std::string &page);
    Result<ListPage> (*readListPage)(const std::string &body);
    std::string reportPath;
    Result<EngineReport> (*readReport)(const std::string &body);
    /// Returns the request that sends an order to a server.
    runtime::HttpRequest (*order)(const WeightsOrder &order, const std::string &serverId);
    OrderAnswer (*readOrderAnswer)(int status);
    /// Name of the header field with the id of the server to which a call is addressed.
    std::string targetField;
};

struct Dialect
{
    ControlDialect control;
    RequestDialect requests;
    ServerDialect servers;
};

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_DIALECT_H
