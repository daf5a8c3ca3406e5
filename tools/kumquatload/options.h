// The command line of the load program.

#ifndef KUMQUATHAVEN_TOOLS_KUMQUATLOAD_OPTIONS_H
#define KUMQUATHAVEN_TOOLS_KUMQUATLOAD_OPTIONS_H

#include "accounting.h"
#include "arrivals.h"
#include "caller.h"

#include <vector>

namespace kumquathaven::load {

/// What to do.
struct Arguments
{
    LoadShape shape;
    CallOptions call;
    std::vector<settings::Address> targets;
    /// Whether the targets are only asked which entries to use.
    bool finds = false;
    /// The rate of each customer, to compare with; empty if none were given.
    std::vector<RateLimit> limits;
    /// Requests due before this count in the customers' accounts only.
    Duration warmUp{0};
    std::uint32_t maxRunning = 400;
    /// Where a line for each request goes; empty: nowhere.
    std::string requestsFile;
    /// Keep that many requests running instead of following arrival times.
    bool keepsFull = false;
};

/// Reads the command line. On a problem, prints it with what is allowed and returns false.
bool readArguments(int argc, const char **argv, Arguments &arguments);

} // namespace kumquathaven::load

#endif // KUMQUATHAVEN_TOOLS_KUMQUATLOAD_OPTIONS_H
