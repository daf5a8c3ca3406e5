// What a control member answers on a platform: operators' declarations, and callers that look for
// an entry.

#ifndef KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H
#define KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H

#include "cataloguemachine.h"
#include "logduty.h"

#include "kumquathaven/deployment/dialect.h"
#include "kumquathaven/runtime/httpserver.h"
#include "kumquathaven/settings/settings.h"

#include <string>
#include <vector>

namespace kumquathaven::control {

/// What the answers rest on. Everything outlives it.
struct DeclarationsContext
{
    const settings::Settings &settings;
    const deployment::Dialect &dialect;
    const CatalogueMachine &machine;
    LogDuty &log;
};

/// Answers one call of an operator. Only the leader answers by itself; other members send the
/// operator to it.
void handleDeclarations(const DeclarationsContext &context, runtime::HttpExchange &exchange);

/// Answers one caller that asks which entries to use, from what this member holds.
void handleDirectory(const DeclarationsContext &context, runtime::HttpExchange &exchange);

/// Returns whether a member may accept a change. While the group is founded it has one voter, then
/// two: the loss of one disk would then lose what was acknowledged, or the majority for good. So
/// the leader accepts the first declaration once the group bears the losses that are tolerated.
/// Later the group never falls below that number but for the moment in which a lost disk is
/// replaced.
bool isGroupComplete(const LogStatus &status, const catalogue::Declaration &held,
                     std::uint32_t lossesTolerated);

/// Returns the addresses for callers of the entries that serve: those in the caller's failure
/// domain first, at most \p most.
std::vector<std::string> entriesFor(const catalogue::Instances &instances,
                                    const deployment::DirectoryCall &call, std::size_t most);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_DECLARATIONS_H
