// The duty that keeps this instance's part of the fleet-wide limits.

#ifndef KUMQUATHAVEN_LIB_ENTRY_FLEETLIMITS_H
#define KUMQUATHAVEN_LIB_ENTRY_FLEETLIMITS_H

#include "kumquathaven/base/error.h"
#include "kumquathaven/base/ring.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/peerlinks.h"
#include "kumquathaven/limits/node.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/wire/hub.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// Returns the buckets of every customer and key that has a rate.
std::map<std::string, limits::BucketLimits> bucketLimits(const catalogue::Catalogue &catalogue);

/// Returns the buckets that a request of a customer with a key draws on.
std::vector<limits::Draw> drawsOf(const catalogue::Catalogue &catalogue,
                                  const std::string &customer, const std::string &keyName);

/// A request's hold on tokens, or why it has none.
struct TokenHold
{
    std::uint64_t reservation = 0;
    std::optional<Error> refusal;
};

/// reserve(), startRun() and settle() are called by the threads of requests.
class FleetLimits
{
public:
    /// Sets the handlers of its channel: make it before \p hub starts.
    FleetLimits(const settings::Settings &settings, std::uint64_t incarnation, wire::Hub &hub,
                feed::PeerLinks &peerLinks, const catalogue::View &view,
                telemetry::Metrics &metrics);
    FleetLimits(const FleetLimits &) = delete;
    FleetLimits &operator=(const FleetLimits &) = delete;

    /// The duty. After a failure the node may have counted half a message: the process must then
    /// start again, as a new incarnation.
    void run(const runtime::StopSignal &stop);

    /// Waits until the tokens are there or it is clear that they will not be in time.
    TokenHold reserve(const std::vector<limits::Draw> &draws, const limits::Cost &cost);
    void startRun(std::uint64_t reservation);
    void settle(std::uint64_t reservation, std::uint64_t used);

private:
    struct Received
    {
        std::string peer;
        std::string body;
    };

    void takeView(limits::Effects &effects);
    void countHomes();
    void takeReceived(const Received &received, limits::Effects &effects);
    void perform(limits::Effects &effects);
    void send(const std::string &to, const std::vector<limits::Message> &messages);

    feed::PeerLinks &m_peerLinks;
    const catalogue::View &m_view;
    telemetry::Counter &m_sent;
    telemetry::Counter &m_bytesSent;
    telemetry::Counter &m_bytesReceived;
    telemetry::Counter &m_malformedFrames;
    telemetry::Counter &m_refused;
    telemetry::Histogram &m_waits;
    telemetry::Gauge &m_homes;
    BoundedRing<Received> m_ring;

    std::mutex m_mutex;
    std::condition_variable m_decided;
    limits::Node m_node;
    std::map<std::uint64_t, std::optional<Error>> m_resolutions;
    catalogue::Snapshot m_snapshot;
    std::map<std::string, limits::BucketLimits> m_limits;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_FLEETLIMITS_H
