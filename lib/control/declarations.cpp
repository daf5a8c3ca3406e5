#include "declarations.h"

#include "awaitcommand.h"
#include "callerentries.h"

#include "kumquathaven/base/walltime.h"
#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/deployment/releases.h"
#include "kumquathaven/telemetry/log.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <variant>

namespace kumquathaven::control {

namespace {

/// Maximum wait for the log. Operators try another member after one second without an answer. A
/// command that takes longer is acknowledged when the operator sends it again.
constexpr Duration maxWait = std::chrono::milliseconds(2500);
/// How long a caller may cache an answer. It is short, so that callers soon stop using entries that
/// leave.
constexpr Duration entriesTtl = std::chrono::seconds(2);

/// Maximum age of a list of servers that shows a release to run already.
constexpr Duration maxReadingAge = std::chrono::seconds(10);

using runtime::HttpReply;

/// Returns the address for operators of the member \p instance: the host of its link, with the port
/// for declarations that all members share. Empty if \p instance is not an address.
std::string declarationsAddress(const settings::Settings &settings, const std::string &instance)
{
    const settings::Address link = settings::parseAddress(instance);
    if (link.port == 0)
        return {};
    return settings::toString({link.host, settings.platform->declarations.port});
}

Result<void> confirmNewest(const DeclarationsContext &context)
{
    BOOST_LEAF_CHECK(await(maxWait, [&](const CommandDone &done) {
        return context.log.query({}, done);
    }));
    return {};
}

Result<void> checkGroup(const DeclarationsContext &context)
{
    const auto catalogue = context.machine.published().catalogue;
    if (hasEnoughVoters(context.log.status(), catalogue->declaration,
                        context.settings.platform->lossesTolerated))
        return {};
    return fail({ErrorCode::Unavailable,
                 "declarations.change",
                 {},
                 "the group does not have enough voters yet for the tolerated number of losses",
                 Outcome::NotRun,
                 {}});
}

Result<void> propose(const DeclarationsContext &context, const catalogue::Change &change)
{
    BOOST_LEAF_CHECK(checkGroup(context));
    BOOST_LEAF_AUTO(bytes, await(maxWait, [&](const CommandDone &done) {
                        return context.log.command(catalogue::encodeChange(change), done);
                    }));
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "declarations.change", {}));
    BOOST_LEAF_AUTO(answer, catalogue::answerFromJson(value));
    if (!answer.accepted)
        return fail({answer.code, "declarations.change", {}, answer.message, Outcome::NotRun, {}});
    return {};
}

std::uint64_t toMilliseconds(Duration time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// The names of the services of a declaration; none if it can't be read.
std::set<std::string> servicesOf(const DeclarationsContext &context,
                                 const catalogue::Declaration &declaration)
{
    if (!declaration.text)
        return {};
    return orElse(
        [&]() -> Result<std::set<std::string>> {
            BOOST_LEAF_AUTO(plan, context.dialect.control.readPlan(*declaration.text));
            std::set<std::string> names;
            for (const auto &it : plan.services)
                names.insert(it.first);
            return Result<std::set<std::string>>(std::move(names));
        },
        [](const Error &) {
            return std::set<std::string>();
        });
}

std::optional<Error> isRefused(const DeclarationsContext &context,
                               const deployment::StartRolloutCall &call)
{
    const auto catalogue = context.machine.published().catalogue;
    const auto reading = context.servers.newest();
    const bool isFresh = reading && monotonicNow() - reading->readAt <= maxReadingAge;
    return rolloutRefusal(*catalogue, servicesOf(context, catalogue->declaration),
                          isFresh ? reading->servers : std::vector<deployment::ListedServer>(),
                          call);
}

/// Answers each kind of operator call.
struct Answerer
{
    const DeclarationsContext &context;

    Result<HttpReply> operator()(const deployment::DeclareCall &call) const
    {
        catalogue::Declare body;
        body.declaration.version = call.version;
        body.declaration.text = std::make_shared<const std::string>(call.text);
        BOOST_LEAF_CHECK(propose(context, {{}, {}, body}));
        telemetry::logLine(telemetry::LogLevel::Info, "declarations", "declaration acknowledged",
                           {{"version", std::to_string(call.version)},
                            {"bytes", std::to_string(call.text.size())}});
        return context.dialect.control.acknowledge();
    }

    Result<HttpReply> operator()(const deployment::SetWeightsVersionCall &call) const
    {
        BOOST_LEAF_CHECK(
            propose(context, {{}, {}, catalogue::SetWeightsVersion{call.model, call.version}}));
        telemetry::logLine(telemetry::LogLevel::Info, "declarations", "weights version set",
                           {{"model", call.model}, {"version", std::to_string(call.version)}});
        return context.dialect.control.acknowledge();
    }

    Result<HttpReply> operator()(const deployment::StartRolloutCall &call) const
    {
        // A refusal ends the operator's call for good, so it needs the newest state.
        if (isRefused(context, call)) {
            BOOST_LEAF_CHECK(confirmNewest(context));
            if (const std::optional<Error> refusal = isRefused(context, call))
                return fail(*refusal);
        }
        const std::uint64_t limitMs = toMilliseconds(call.limit);
        BOOST_LEAF_CHECK(propose(
            context,
            {{},
             {},
             catalogue::StartRollout{call.service, call.release, limitMs, wallMilliseconds()}}));
        telemetry::logLine(telemetry::LogLevel::Info, "declarations", "rollout acknowledged",
                           {{"service", call.service},
                            {"release", call.release},
                            {"limitMs", std::to_string(limitMs)}});
        return context.dialect.control.acknowledge();
    }

    Result<HttpReply> operator()(const deployment::ReadRolloutCall &call) const
    {
        BOOST_LEAF_CHECK(confirmNewest(context));
        const auto catalogue = context.machine.published().catalogue;
        const auto it = catalogue->rollouts.find(call.service);
        if (it == catalogue->rollouts.end())
            return fail({ErrorCode::NotFound,
                         "declarations.rollout",
                         {},
                         "service \"" + call.service + "\" has no rollout",
                         Outcome::NotRun,
                         {}});
        return context.dialect.control.replyWithRollout(it->second);
    }

    Result<HttpReply> operator()(const deployment::ReadDeclarationCall &) const
    {
        BOOST_LEAF_CHECK(confirmNewest(context));
        const catalogue::Declaration held = context.machine.published().catalogue->declaration;
        if (!held.text)
            return fail({ErrorCode::Unavailable,
                         "declarations.read",
                         {},
                         "no declaration has been accepted yet",
                         Outcome::NotRun,
                         {}});
        return context.dialect.control.replyWithDeclaration(*held.text);
    }
};

HttpReply refuse(const DeclarationsContext &context, const runtime::HttpRequest &request,
                 const Error &error)
{
    if (error.code == ErrorCode::NotLeader && !error.peer.empty()) {
        const std::string leader = declarationsAddress(context.settings, error.peer);
        if (!leader.empty())
            return context.dialect.control.redirect(leader, request);
    }
    if (error.code != ErrorCode::NotLeader)
        telemetry::logLine(telemetry::LogLevel::Warn, "declarations", "call refused",
                           {{"method", request.method},
                            {"path", request.path},
                            {"peer", request.peer},
                            {"reason", describe(error)}});
    return context.dialect.control.refuse(error);
}

} // namespace

void handleDeclarations(const DeclarationsContext &context, runtime::HttpExchange &exchange)
{
    const runtime::HttpRequest &request = exchange.request();
    exchange.reply(orElse(
        [&]() -> Result<HttpReply> {
            BOOST_LEAF_AUTO(call, context.dialect.control.readOperatorCall(request));
            return std::visit(Answerer{context}, call);
        },
        [&](const Error &error) {
            return refuse(context, request, error);
        }));
}

bool hasEnoughVoters(const LogStatus &status, const catalogue::Declaration &held,
                     std::uint32_t lossesTolerated)
{
    // Other members redirect the call to the leader.
    if (status.raftState.role != consensus::Role::Leader || held.text)
        return true;
    return status.configuration.voters.size() >= 2 * std::size_t{lossesTolerated} + 1;
}

std::optional<Error> rolloutRefusal(const catalogue::Catalogue &catalogue,
                                    const std::set<std::string> &services,
                                    const std::vector<deployment::ListedServer> &servers,
                                    const deployment::StartRolloutCall &call)
{
    const auto refusal = [](ErrorCode code, const std::string &message) {
        return Error{code, "declarations.rollout", {}, message, Outcome::NotRun, {}};
    };
    const auto last = catalogue.rollouts.find(call.service);
    const bool isRepeated = last != catalogue.rollouts.end() && last->second.release == call.release
        && last->second.limitMs == toMilliseconds(call.limit);
    if (isRepeated)
        return std::nullopt;
    if (!catalogue.declaration.text)
        return refusal(ErrorCode::Unavailable, "no declaration has been accepted yet");
    if (services.count(call.service) == 0)
        return refusal(ErrorCode::InvalidRequest,
                       "service \"" + call.service
                           + "\" is unknown; it must be one of the declaration");
    const bool isRunning =
        last != catalogue.rollouts.end() && last->second.state == catalogue::RolloutState::Running;
    if (!isRunning && deployment::runsAlready(servers, call.service, call.release))
        return refusal(ErrorCode::InvalidRequest,
                       "all servers of service \"" + call.service + "\" run release \""
                           + call.release + "\" already");
    return std::nullopt;
}

void handleDirectory(const DeclarationsContext &context, runtime::HttpExchange &exchange)
{
    exchange.reply(orElse(
        [&]() -> Result<HttpReply> {
            BOOST_LEAF_AUTO(call, context.dialect.control.readDirectoryCall(exchange.request()));
            const auto entries = entriesForCaller(*context.machine.published().instances,
                                                  call.failureDomain, exchange.request().peer);
            if (entries.empty())
                return fail({ErrorCode::Unavailable,
                             "directory.find",
                             {},
                             "no entry instance is serving",
                             Outcome::NotRun,
                             {}});
            const Duration ttl = std::min(entriesTtl, context.settings.platform->maxEntriesTtl);
            return context.dialect.control.replyWithEntries(entries, ttl);
        },
        [&](const Error &error) {
            return context.dialect.control.refuse(error);
        }));
}

} // namespace kumquathaven::control
