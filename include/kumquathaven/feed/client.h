// The duty that keeps an entry instance's view of the control state fresh: it owns the links to
// control members, relays and children, and drives a Follower with their events.

#ifndef KUMQUATHAVEN_FEED_CLIENT_H
#define KUMQUATHAVEN_FEED_CLIENT_H

#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/messages.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/wire/hub.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquathaven::feed {

/// Status of the feed, for readiness and metrics.
struct ClientStatus
{
    /// Name of the connected control member; empty while no member is connected.
    std::string member;
    std::uint64_t position = 0;
    /// Number of times that the client switched to another member.
    std::uint64_t memberChanges = 0;
    /// Number of frames dropped because they were malformed or the event queue was full.
    std::uint64_t framesDropped = 0;
    /// Name of the relay, an entry, that feeds this instance; empty if control feeds it.
    std::string relay;
    /// Number of entries that this instance feeds as a relay.
    std::size_t children = 0;
    /// Number of times that a relay was abandoned because it failed.
    std::uint64_t relayFailures = 0;
    /// Whether operators have drained this instance.
    bool drained = false;
    /// Whether another process has taken over this instance's name.
    bool replaced = false;
};

/// Returns this instance as the settings describe it, with incarnation zero.
catalogue::Instance configuredInstance(const settings::Settings &settings);

/// Returns what an instance announces when it starts: its settings, state Starting, and a random
/// incarnation drawn from the system's generator.
catalogue::Instance startingInstance(const settings::Settings &settings);

/// Connects to the control members in turn until one gives fresh proofs, or to a relay. Offers
/// every new state to the view, announces the instance, and feeds other entries.
class FeedClient
{
public:
    /// Registers the handlers of the feed and ledger channels, so the client must be constructed
    /// before \p hub starts. \p hub and \p view must outlive the client.
    FeedClient(const settings::Settings &settings, wire::Hub &hub, catalogue::View &view,
               const catalogue::Instance &self);
    FeedClient(const FeedClient &) = delete;
    FeedClient &operator=(const FeedClient &) = delete;
    ~FeedClient();

    /// Runs the duty until \p shouldStop returns true, then sends the instance's departure to
    /// control. The hub must run throughout. The function may be called again after a failure.
    void run(const std::function<bool()> &shouldStop);

    /// Changes what the instance announces, for example its state to Serving or Leaving. Any thread
    /// may call it.
    void announce(const catalogue::Instance &self);

    /// Sets the handler of the ledger's answers; \p number is that of the command. The handler is
    /// called on the hub's thread, so it must not block. It must be set before run().
    void
    onLedgerAnswer(std::function<void(std::uint64_t number, const std::string &answer)> handler);

    /// Sends a command to the ledger through the connected control member, which forwards it to the
    /// ledger's leader. The command or its answer may be lost: the sender retries, and the ledger
    /// applies a command only once. Fails with Unavailable while no member is connected.
    Result<void> sendToLedger(std::uint64_t number, const std::string &command);

    /// Sends counts about a rollout to control, directly or through the relay while no member is
    /// connected. A report may be lost; the next one replaces it. Fails with TooLarge if it has
    /// more than maxReportedRoutes routes, with Unavailable while nothing is connected, and with
    /// Overloaded if too many events wait. Any thread may call it.
    Result<void> report(const RolloutReport &report);

    /// Returns a copy of the current status. Any thread may call it.
    ClientStatus status() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_CLIENT_H
