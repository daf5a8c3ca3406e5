// Both sides of the fleet-wide limits on one entry instance.

#ifndef KUMQUATHAVEN_LIMITS_NODE_H
#define KUMQUATHAVEN_LIMITS_NODE_H

#include "kumquathaven/limits/keeper.h"
#include "kumquathaven/limits/spender.h"

#include <map>
#include <memory>
#include <string>

namespace kumquathaven::limits {

/// An instance's part in the limits. Messages to its own name never leave it.
struct Node
{
    Spender spender;
    Keeper keeper;
};

/// Makes the node of an instance. The incarnation is the one it announced.
Node makeNode(const std::string &name, std::uint64_t incarnation, const Config &config);

/// Takes entries, limits and the time of the freshness proof from the instance's view.
void configure(Node &node, std::shared_ptr<const catalogue::Instances> instances,
               const std::map<std::string, BucketLimits> &limits, TimePoint provenAt, TimePoint now,
               Effects &effects);

/// Reserves tokens; see reserve() of the spender.
Decision reserve(Node &node, const std::vector<Draw> &draws, const Cost &cost, TimePoint now,
                 Effects &effects);

/// Tells that a request runs; see startRun() of the spender.
void startRun(Node &node, std::uint64_t reservation);

/// Ends a reservation; see settle() of the spender.
void settle(Node &node, std::uint64_t reservation, std::uint64_t used, TimePoint now,
            Effects &effects);

/// Takes a message from another instance.
void handleMessage(Node &node, const std::string &from, const Message &message, TimePoint now,
                   Effects &effects);

/// Does what is due. Called every few milliseconds.
void tick(Node &node, TimePoint now, Effects &effects);

} // namespace kumquathaven::limits

#endif // KUMQUATHAVEN_LIMITS_NODE_H
