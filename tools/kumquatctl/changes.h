// Sends changes of the catalogue to control.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_CHANGES_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_CHANGES_H

#include "commands.h"

namespace kumquathaven::ctl {

/// Adds change id and expected revision to a change, sends it, and returns the answer if it was
/// accepted.
Result<nlohmann::json> sendChange(const Arguments &arguments, nlohmann::json change);

/// Prints the answer to a change.
void printAnswer(const Arguments &arguments, const nlohmann::json &answer, const std::string &text);

/// Returns the value if the reply says that all went well, else a failure with its message.
Result<nlohmann::json> bodyOf(const ControlReply &reply);

/// Returns a failure about the use of the command.
Error usage(const std::string &message);

Result<void> apply(const Arguments &arguments);
Result<void> put(const Arguments &arguments);
Result<void> remove(const Arguments &arguments);
Result<void> grantKey(const Arguments &arguments);
Result<void> withdrawKey(const Arguments &arguments);
Result<void> drain(const Arguments &arguments);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_CHANGES_H
