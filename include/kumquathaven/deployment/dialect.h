// The seam to a platform: plain functions that turn its bytes into the product's values and back.
// Nothing in a dialect chooses, times or retries.

#ifndef KUMQUATHAVEN_DEPLOYMENT_DIALECT_H
#define KUMQUATHAVEN_DEPLOYMENT_DIALECT_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/deployment/plan.h"
#include "kumquathaven/deployment/request.h"
#include "kumquathaven/deployment/server.h"
#include "kumquathaven/runtime/http.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace kumquathaven::deployment {

/// An operator hands in a declaration. It was checked whole.
struct DeclareCall
{
    std::uint64_t version = 0;
    std::string text;
};

/// An operator asks for the newest declaration.
struct ReadDeclarationCall
{ };

/// An operator names a version of a model's weights.
struct SetWeightsVersionCall
{
    std::string model;
    std::uint64_t version = 0;
};

using OperatorCall = std::variant<DeclareCall, ReadDeclarationCall, SetWeightsVersionCall>;

/// A caller asks which entries to use.
struct DirectoryCall
{
    std::string region;
    std::string failureDomain;
};

/// Calls of operators and of callers that look for an entry.
struct ControlDialect
{
    /// Reads a declaration and checks it whole. InvalidRequest names what is wrong.
    Result<Plan> (*readPlan)(const std::string &text);
    /// Errors: NotFound, InvalidRequest.
    Result<OperatorCall> (*readOperatorCall)(const runtime::HttpRequest &request);
    runtime::HttpReply (*acknowledge)();
    runtime::HttpReply (*replyWithDeclaration)(const std::string &text);
    /// Sends an operator to another control member, "host:port".
    runtime::HttpReply (*redirect)(const std::string &member, const runtime::HttpRequest &request);
    runtime::HttpReply (*refuse)(const Error &error);
    Result<DirectoryCall> (*readDirectoryCall)(const runtime::HttpRequest &request);
    runtime::HttpReply (*replyWithEntries)(const std::vector<std::string> &addresses, Duration ttl);
};

/// Requests of callers on their way to servers, and the answers on their way back.
struct RequestDialect
{
    /// Path of the platform's readiness probe.
    std::string readinessPath;
    /// Fails with InvalidRequest if a field that decides anything can't be read.
    Result<CallerHead> (*readHead)(const runtime::HeaderFields &fields);
    /// Returns the fields that go to a server: the caller's without those that only the system may
    /// set or that concern one connection, and those of the passage.
    runtime::HeaderFields (*forwardFields)(const runtime::HeaderFields &fields,
                                           const ForwardingContext &passage);
    AnswerHead (*readAnswer)(int status, const runtime::HeaderFields &fields);
    runtime::HttpReply (*refuse)(const Error &error);
};

/// The platform's list of servers, and what servers answer to the system itself.
struct ServerDialect
{
    std::string (*listPath)(const std::string &page);
    Result<ListPage> (*readListPage)(const std::string &body);
    std::string reportPath;
    Result<EngineReport> (*readReport)(const std::string &body);
    /// The call that carries an order to a server.
    runtime::HttpRequest (*order)(const WeightsOrder &order, const std::string &serverId);
    OrderAnswer (*readOrderAnswer)(int status);
    /// Field that names the server that a call is for.
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
