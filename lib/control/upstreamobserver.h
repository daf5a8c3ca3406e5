// Polls the engines that get orders for what they serve, while this member issues orders.

#ifndef KUMQUATHAVEN_LIB_CONTROL_UPSTREAMOBSERVER_H
#define KUMQUATHAVEN_LIB_CONTROL_UPSTREAMOBSERVER_H

#include "cataloguemachine.h"

#include "kumquathaven/routing/orders.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/settings/settings.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace kumquathaven::control {

/// The state that an engine reported, and when it was polled.
struct UpstreamObservation
{
    routing::Observed observed;
    TimePoint askedAt{};
};

/// Number of polling threads, each of which polls one share of the engines.
constexpr std::size_t observerShares = 4;

/// Keeps the newest observation of each engine that has a desired state or an open order.
class UpstreamObserver
{
public:
    explicit UpstreamObserver(const CatalogueMachine &machine);

    /// Polls one share of the engines until the signal is set. The engines that get orders are
    /// numbered in the catalogue's order; those whose number modulo observerShares is \p share
    /// belong to it.
    void run(std::size_t share, const runtime::StopSignal &stop);

    /// Starts or stops polling. Stopping discards all observations.
    void setActive(bool active);

    /// Returns the observations by upstream name. May be called by any thread.
    std::map<std::string, UpstreamObservation> observations() const;

private:
    struct Watch
    {
        settings::Address address;
        TimePoint nextPollAt{};
        /// Whether the engine was in its desired state and had no open order when last polled.
        bool isSettled = false;
    };
    using Watches = std::map<std::string, Watch>;

    void updateWatches(Watches &watches, const PublishedState &state, std::size_t share);
    void poll(const std::string &name, Watch &watch, const PublishedState &state);

    const CatalogueMachine &m_machine;
    std::atomic<bool> m_isActive{false};
    mutable std::mutex m_mutex;
    std::map<std::string, UpstreamObservation> m_observations;
};

/// Returns the desired state of each engine that has one in the catalogue, by upstream name.
std::map<std::string, routing::Desired> desiredOf(const catalogue::Catalogue &catalogue);

/// Returns whether an engine's observed state is its desired state.
bool matchesDesired(const routing::Desired &desired, const routing::Observed &observed);

} // namespace kumquathaven::control

#endif // KUMQUATHAVEN_LIB_CONTROL_UPSTREAMOBSERVER_H
