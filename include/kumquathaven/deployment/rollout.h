// Brings the servers of each model to the newest version of its weights, a few at a time.
//
// Answers the load of a new version while requests run: a server that loads starts no request, so
// only a part of the servers is ordered at once and the rest serve meanwhile.

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

/// Times of a rollout.
struct RolloutTimes
{
    /// Entries learn within this time that a server is about to load, and send it nothing more.
    Duration noticeDelay = std::chrono::milliseconds(100);
    /// Between two reports of a server that loads. Reports lag by some hundred milliseconds.
    Duration reportInterval = std::chrono::milliseconds(200);
    /// An order that no report shows after this time counts as lost.
    Duration orderTimeout = std::chrono::milliseconds(500);
    /// A server that was not seen to load for this long is left alone for a while.
    Duration loadTimeout = std::chrono::seconds(5);
    Duration retryDelay = std::chrono::seconds(2);
};

/// Where one start of a server is on its way to a version.
struct ServerRollout
{
    std::string model;
    std::uint64_t version = 0;
    TimePoint startedAt{};
    /// When the next call is due.
    TimePoint nextCallAt{};
    /// A call is under way.
    bool isCallPending = false;
    /// The order was accepted, or may have been.
    bool isOrdered = false;
    TimePoint orderedAt{};
    std::optional<EngineReport> report;
};

/// What the holder of orders remembers.
struct Rollout
{
    /// By start of the server.
    std::map<std::string, ServerRollout> servers;
    /// Until when a start of a server is left alone.
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
    /// Orders: the number of orders that the server had accepted when it was last asked.
    std::optional<std::uint64_t> expectedOrders;
};

/// What became of a call.
struct RolloutAnswer
{
    std::string start;
    RolloutCall::Kind kind = RolloutCall::Kind::Report;
    /// Reports; nothing: there was no answer.
    std::optional<EngineReport> report;
    /// Orders; nothing: there was no answer.
    std::optional<OrderAnswer> order;
};

/// What is to be done next.
struct RolloutStep
{
    std::vector<RolloutCall> calls;
    /// To be recorded in the catalogue.
    std::vector<catalogue::ServerWeights> records;
    /// Starts of servers that are gone.
    std::vector<std::string> departed;
};

/// Returns how many of a number of servers may load at the same time.
std::size_t maxLoading(std::size_t servers);

/// Returns the version that a server has as far as is known: what was recorded of it, or else what
/// the list says.
std::uint64_t knownWeightsVersion(const catalogue::Catalogue &catalogue, const ListedServer &server,
                                  const std::string &model);

/// Decides the next step from the listed servers and the catalogue.
RolloutStep nextStep(Rollout &rollout, const std::vector<ListedServer> &servers,
                     const catalogue::Catalogue &catalogue, const RolloutTimes &times,
                     TimePoint now);

/// Takes what became of a call.
void handleAnswer(Rollout &rollout, const RolloutAnswer &answer, const RolloutTimes &times,
                  TimePoint now);

} // namespace kumquathaven::deployment

#endif // KUMQUATHAVEN_DEPLOYMENT_ROLLOUT_H
