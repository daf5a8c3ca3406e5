// The fleet-wide limits on one entry instance: its spender and its keeper together.

#ifndef KUMQUATHAVEN_LIMITS_NODE_H
#define KUMQUATHAVEN_LIMITS_NODE_H

#include "kumquathaven/limits/keeper.h"
#include "kumquathaven/limits/spender.h"

#include <map>
#include <memory>
#include <string>

namespace kumquathaven::limits {

/// The state of one instance. Messages between its own spender and keeper are delivered directly
/// and never appear in the Effects.
struct Node
{
    Spender spender;
    Keeper keeper;
};

/// Returns the node of an instance. \p incarnation is the one that the instance announced.
Node makeNode(const std::string &name, std::uint64_t incarnation, const Config &config);

/// Applies the entries, the limits and the time of the freshness proof from the instance's view.
void configure(Node &node, std::shared_ptr<const catalogue::Instances> instances,
               const std::map<std::string, BucketLimits> &limits, TimePoint provenAt, TimePoint now,
               Effects &effects);

/// Reserves tokens. See reserve() in spender.h.
Decision reserve(Node &node, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects);

/// Records that a request runs. See startRun() in spender.h.
void startRun(Node &node, std::uint64_t reservation);

/// Ends a reservation. See settle() in spender.h.
void settle(Node &node, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects);

/// Handles a message from another instance.
void handleMessage(Node &node, const std::string &from, const Message &message, TimePoint now,
                   Effects &effects);

/// Runs the periodic work of the spender and the keeper. Called every few milliseconds.
void tick(Node &node, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_NODE_H
