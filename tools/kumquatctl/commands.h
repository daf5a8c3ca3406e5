// The commands of kumquatctl.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATCTL_COMMANDS_H
#define KUMQUATHAVEN_TOOLS_KUMQUATCTL_COMMANDS_H

#include "controlclient.h"

#include "kumquathaven/base/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::ctl {

/// The command line, read.
struct Arguments
{
    std::vector<settings::Address> control;
    bool asJson = false;
    Duration timeout = std::chrono::seconds(10);
    std::optional<std::uint64_t> expectedRevision;
    /// The change id to use in place of a random one.
    std::string changeId;
    bool replace = false;
    bool cutsStreams = false;
    bool undo = false;
    std::string customer;
    std::string owner;
    std::string serviceClass;
    /// For rollouts: the release, and the time limit with its unit.
    std::string release;
    std::string limit;
    /// The command's words.
    std::vector<std::string> words;
};

/// Runs the command and prints what it brought. Fails with what control refused; a command line
/// that names no command fails with InvalidRequest at step "usage".
Result<void> run(const Arguments &arguments);

} // namespace kumquathaven::ctl

#endif // KUMQUATHAVEN_TOOLS_KUMQUATCTL_COMMANDS_H
