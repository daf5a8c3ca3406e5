// The duty of an entry instance that keeps its view of the control state fresh.

#ifndef KUMQUATHAVEN_FEED_CLIENT_H
#define KUMQUATHAVEN_FEED_CLIENT_H

#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/wire/hub.h"

#include <functional>
#include <memory>
#include <string>

namespace kumquathaven::feed {

/// What the feed has reached, for readiness and metrics.
struct ClientStatus
{
    /// Name of the control member in use; empty while none answers.
    std::string member;
    std::uint64_t position = 0;
    /// Times that another member was tried.
    std::uint64_t memberChanges = 0;
    /// Frames that could not be read or found no room.
    std::uint64_t framesDropped = 0;
    /// Name of the entry that feeds this one; empty if control does.
    std::string relay;
    /// Entries that this one feeds.
    std::size_t children = 0;
    /// Times that a relay was left because it failed.
    std::uint64_t relayFailures = 0;
    /// Whether operators drained this instance.
    bool drained = false;
    /// Whether another process took this instance's name.
    bool replaced = false;
};

/// Returns what the settings say about this instance, with incarnation zero.
catalogue::Instance configuredInstance(const settings::Settings &settings);

/// Returns what an instance announces at its start: its settings, state Starting, and an
/// incarnation drawn from the system's generator.
catalogue::Instance startingInstance(const settings::Settings &settings);

/// Connects to one control member after the other until one gives fresh proofs, or to a relay,
/// offers every new state to the view, announces the instance, and feeds other entries.
class FeedClient
{
public:
    /// Sets the handlers of the feed channel: make it before \p hub starts. \p hub and \p view must
    /// outlive the client.
    FeedClient(const settings::Settings &settings, wire::Hub &hub, catalogue::View &view,
               const catalogue::Instance &self);
    FeedClient(const FeedClient &) = delete;
    FeedClient &operator=(const FeedClient &) = delete;
    ~FeedClient();

    /// The duty: works until \p shouldStop returns true, then sends its departure to control. The
    /// hub must run all that time. After a failure it may be called again.
    void run(const std::function<bool()> &shouldStop);

    /// Changes what the instance announces, for example its state to Serving or Leaving.
    void announce(const catalogue::Instance &self);

    /// Sets who gets the ledger's answers, by the number of the command. Called on the hub's
    /// thread, so it must not block. To be set before run().
    void
    onLedgerAnswer(std::function<void(std::uint64_t number, const std::string &answer)> handler);

    /// Sends a command to the ledger through the control member in use, which passes it on to the
    /// ledger's leader. The command or its answer may be lost: the sender sends it again, which the
    /// ledger counts once. Fails with Unavailable while no member is in use.
    Result<void> sendToLedger(std::uint64_t number, const std::string &command);

    /// Returns a copy of the present status. Any thread may call it.
    ClientStatus status() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquathaven::feed

#endif // KUMQUATHAVEN_FEED_CLIENT_H
