// Adapts the ledger to the state machine interface of a log group.

#ifndef KUMQUATHAVEN_LEDGER_MACHINE_H
#define KUMQUATHAVEN_LEDGER_MACHINE_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/statemachine.h"
#include "kumquathaven/ledger/ledger.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace kumquathaven::ledger {

/// Decodes the answer to a query of the state machine: the runners that the ledger knows. The error
/// has the code InvalidRequest and names \p peer.
Result<std::set<Runner>> decodeRunners(std::string_view bytes, const std::string &peer);

/// Returns a state machine that a log group can drive and that operates on \p state. Its only
/// query, an empty one, returns the runners that the ledger knows.
StateMachine makeStateMachine(std::shared_ptr<State> state);

} // namespace kumquathaven::ledger

#endif // KUMQUATHAVEN_LEDGER_MACHINE_H
