// HTTP interfaces of a control member on a platform: operators' declarations, and the directory in
// which callers look up entries.

#ifndef KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H
#define KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H

#include "cataloguemachine.h"
#include "logduty.h"
#include "serverlist.h"

#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/settings/settings.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::control {

/// The objects that the handlers read or call. All of them must outlive the context.
struct DeclarationsContext
{
    const settings::Settings &settings;
    const deployment::Dialect &dialect;
    const CatalogueMachine &machine;
    LogDuty &log;
    const ServerList &servers;
};

/// Handles one request of an operator. Only the leader answers it; other members redirect the
/// operator to the leader.
void handleDeclarations(const DeclarationsContext &context, runtime::HttpExchange &exchange);

/// Answers one caller's request for entry addresses from the state that this member has, without
/// asking the leader.
void handleDirectory(const DeclarationsContext &context, runtime::HttpExchange &exchange);

/// Returns whether the group has enough voters to accept a change. After its bootstrap the group
/// has one voter, then two: the loss of one disk would lose acknowledged changes, or the majority
/// permanently. So the leader accepts the first declaration only once the group has
/// 2 * \p lossesTolerated + 1 voters. Once a declaration is held, changes are always accepted: the
/// group has fewer voters only while a lost disk is replaced. Always true on other members.
bool hasEnoughVoters(const LogStatus &status, const catalogue::Declaration &held,
                     std::uint32_t lossesTolerated);

/// Returns why an order can't be carried out, or nothing: there is no declaration yet, or it has no
/// such service, or all servers of \p servers run the release already. An order that equals the
/// last one of the service is never refused, since it may have been acknowledged before.
std::optional<Error> rolloutRefusal(const catalogue::Catalogue &catalogue,
                                    const std::set<std::string> &services,
                                    const std::vector<deployment::ListedServer> &servers,
                                    const deployment::StartRolloutCall &call);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H
