// Updates the servers of each model to the newest version of its weights, a few servers at a time.
//
// A server that loads weights starts no requests, so that only a part of the servers is ordered to
// load at a time while the others serve requests.

#ifndef KUMQUATHAVEN_DEPLOYMENT_ROLLOUT_H
#define KUMQUATHAVEN_DEPLOYMENT_ROLLOUT_H

#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/deployment/server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::deployment {

/// Timeouts and intervals of a rollout.
struct RolloutTimes
{
    /// Time between the announcement that a server will load and the order to load. Entries receive
    /// the announcement within this time and send the server no more requests.
    Duration noticeDelay = std::chrono::milliseconds(100);
    /// Interval between two reports requested from a server that loads. Reports lag by some hundred
    /// milliseconds.
    Duration reportInterval = std::chrono::milliseconds(200);
    /// An order that is not reflected in any report after this time is treated as lost.
    Duration orderTimeout = std::chrono::milliseconds(500);
    /// Interval between two proposals of the record that a rollout has ended, until the catalogue
    /// contains it. A proposal is lost if the leadership ends before it is committed.
    Duration recordInterval = std::chrono::milliseconds(500);
    /// A server that has not loaded the version within this time is released, and is not retried
    /// for retryDelay.
    Duration loadTimeout = std::chrono::seconds(5);
    Duration retryDelay = std::chrono::seconds(2);
};

/// Progress of one start of a server towards a version.
struct ServerRollout
{
    std::string model;
    std::uint64_t version = 0;
    TimePoint startedAt{};
    /// Earliest time of the next call.
    TimePoint nextCallAt{};
    /// A call was sent and its answer is not known yet.
    bool isCallPending = false;
    /// An order was sent, and it was accepted or may have been.
    bool isOrdered = false;
    TimePoint orderedAt{};
    std::optional<EngineReport> report;
    /// Set once the rollout has ended: the version of the server. The rollout is kept until the
    /// catalogue shows the server as not loading.
    std::optional<std::uint64_t> endVersion;
    TimePoint endProposedAt{};
};

/// State of the rollouts, kept by the holder of orders. A server that is recorded as loading and
/// has no rollout was recorded by an earlier holder; it gets a rollout with the next step.
struct Rollout
{
    /// Rollouts in progress by start id of the server.
    std::map<std::string, ServerRollout> servers;
    /// For each start id of a server, the time before which no rollout is started on it.
    std::map<std::string, TimePoint> pausedUntil;
};

/// A call to a server.
struct RolloutCall
{
    enum class Kind { Report, Order };
    Kind kind = Kind::Report;
    ListedServer server;
    std::string model;
    std::uint64_t version = 0;
    /// Orders: the number of orders that the server had accepted according to its last report.
    std::optional<std::uint64_t> expectedOrders;
};

/// Result of a call.
struct RolloutAnswer
{
    std::string start;
    RolloutCall::Kind kind = RolloutCall::Kind::Report;
    /// The answer to a report call, or nothing if there was none.
    std::optional<EngineReport> report;
    /// The answer to an order, or nothing if there was none.
    std::optional<OrderAnswer> order;
};

/// The calls to send and the changes to record next.
struct RolloutStep
{
    std::vector<RolloutCall> calls;
    /// Changes to record in the catalogue.
    std::vector<catalogue::ServerWeights> records;
    /// Start ids of departed servers, whose records are to be removed.
    std::vector<std::string> departed;
};

/// Returns how many out of \p servers may load at the same time.
std::size_t maxLoading(std::size_t servers);

/// Returns the latest known version of a model's weights on a server: the larger of the recorded
/// and the listed version, or the listed version while the server is recorded as loading.
std::uint64_t knownWeightsVersion(const catalogue::Catalogue &catalogue, const ListedServer &server,
                                  const std::string &model);

/// Decides the next step from the listed servers and the catalogue.
RolloutStep nextStep(Rollout &rollout, const std::vector<ListedServer> &servers,
                     const catalogue::Catalogue &catalogue, const RolloutTimes &times,
                     TimePoint now);

/// Handles the result of a call.
void handleAnswer(Rollout &rollout, const RolloutAnswer &answer, const RolloutTimes &times,
                  TimePoint now);

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_ROLLOUT_H
