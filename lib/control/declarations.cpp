#include "declarations.h"

#include "awaitcommand.h"

#include "kumquathaven/catalogue/json.h"
#include "kumquathaven/telemetry/log.h"
#include "kumquathaven/wire/cbor.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <variant>

namespace kumquathaven::control {

namespace {

/// Operators go to another member after a second without an answer; a command may take a little
/// longer and is then acknowledged when it is sent again.
constexpr Duration maxWait = std::chrono::milliseconds(2500);
/// Addresses that a caller takes from one answer.
constexpr std::size_t maxEntries = 64;
/// A caller keeps an answer this long, so that it learns soon of entries that leave.
constexpr Duration entriesTtl = std::chrono::seconds(2);

using runtime::HttpReply;

/// Returns where operators reach the leader: its host and the port that all members share.
std::string declarationsOf(const settings::Settings &settings, const std::string &instance)
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
    if (isGroupComplete(context.log.status(), catalogue->declaration,
                        context.settings.platform->lossesTolerated))
        return {};
    return fail({ErrorCode::Unavailable,
                 "declarations.change",
                 {},
                 "the group has too few voters yet to bear the losses tolerated",
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

/// Answers the calls that were read.
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
        telemetry::logLine(telemetry::LogLevel::Info, "declarations", "weights named",
                           {{"model", call.model}, {"version", std::to_string(call.version)}});
        return context.dialect.control.acknowledge();
    }

    Result<HttpReply> operator()(const deployment::ReadDeclarationCall &) const
    {
        BOOST_LEAF_CHECK(confirmNewest(context));
        const catalogue::Declaration held = context.machine.published().catalogue->declaration;
        if (!held.text)
            return fail({ErrorCode::Unavailable,
                         "declarations.read",
                         {},
                         "there is none yet",
                         Outcome::NotRun,
                         {}});
        return context.dialect.control.replyWithDeclaration(*held.text);
    }
};

HttpReply refuse(const DeclarationsContext &context, const runtime::HttpRequest &request,
                 const Error &error)
{
    if (error.code == ErrorCode::NotLeader && !error.peer.empty()) {
        const std::string leader = declarationsOf(context.settings, error.peer);
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

bool isGroupComplete(const LogStatus &status, const catalogue::Declaration &held,
                     std::uint32_t lossesTolerated)
{
    // Others pass the call on to the leader.
    if (status.raftState.role != consensus::Role::Leader || held.text)
        return true;
    return status.configuration.voters.size() >= 2 * std::size_t{lossesTolerated} + 1;
}

std::vector<std::string> entriesFor(const catalogue::Instances &instances,
                                    const deployment::DirectoryCall &call, std::size_t most)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[name, it] : instances.entries) {
        const bool serves =
            it.state == catalogue::InstanceState::Serving && instances.hinted.count(name) == 0;
        if (serves)
            (it.failureDomain == call.failureDomain ? near : far).push_back(it.callers);
    }
    near.insert(near.end(), far.begin(), far.end());
    near.resize(std::min(near.size(), most));
    return near;
}

void handleDirectory(const DeclarationsContext &context, runtime::HttpExchange &exchange)
{
    exchange.reply(orElse(
        [&]() -> Result<HttpReply> {
            BOOST_LEAF_AUTO(call, context.dialect.control.readDirectoryCall(exchange.request()));
            const auto entries =
                entriesFor(*context.machine.published().instances, call, maxEntries);
            if (entries.empty())
                return fail({ErrorCode::Unavailable,
                             "directory.find",
                             {},
                             "no entry serves",
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
