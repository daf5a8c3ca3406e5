// The command that orders, shows and aborts rollouts of releases.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_ROLLOUTS_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_ROLLOUTS_H

#include "commands.h"

namespace kumquathaven::ctl {

Result<void> rollout(const Arguments &arguments);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_ROLLOUTS_H
