// Refuses requests that crash upstreams, by what all entries observed.

#ifndef KUMQUATHAVEN_LIB_ENTRY_FLEETQUARANTINE_H
#define KUMQUATHAVEN_LIB_ENTRY_FLEETQUARANTINE_H

#include "callerrequest.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/peerlinks.h"
#include "kumquathaven/quarantine/quarantine.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/wire/hub.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::entry {

struct AttemptReport;

/// Returns the names of what of a request can crash upstreams: the blocks of its prompt that other
/// requests may share, which are all whole blocks except the last, then the request itself.
std::vector<std::string> subjectsOf(const CallerRequest &request);

/// Returns whether an attempt ended so early that the request may have crashed its upstream.
bool mayHaveCrashed(const AttemptReport &report);

/// Returns whether so much of an answer arrived that the request crashes no upstream.
bool showsSoundRequest(const AttemptReport &report);

/// All functions are thread-safe.
class FleetQuarantine
{
public:
    /// Sets the handlers of its channel: make it before \p hub starts.
    FleetQuarantine(std::string ownName, wire::Hub &hub, feed::PeerLinks &peerLinks,
                    const catalogue::View &view, telemetry::Metrics &metrics);
    FleetQuarantine(const FleetQuarantine &) = delete;
    FleetQuarantine &operator=(const FleetQuarantine &) = delete;

    /// Fails with Quarantined if a subject crashes upstreams, and with Overloaded while
    /// that is being decided.
    Result<void> admit(const std::vector<std::string> &subjects, TimePoint now);

    /// Returns the error with which a request that waits at an upstream is withdrawn, if one of its
    /// subjects was convicted after \p since, when it was admitted.
    std::optional<Error> withdrawal(const std::vector<std::string> &subjects, TimePoint since,
                                    TimePoint now);

    /// Records that an upstream began to answer a request of a route.
    void recordAnswer(const std::string &route, const catalogue::Upstream &upstream,
                      const std::vector<std::string> &subjects, TimePoint now);

    /// Takes the end of an attempt that may have crashed its upstream. Checks whether the upstream
    /// ended, and returns whether the request may be sent to another one.
    bool checkUpstream(const std::string &route, const catalogue::Upstream &upstream,
                       const std::vector<std::string> &subjects, TimePoint now);

    /// Returns what this instance knows, for operators.
    std::string describe(TimePoint now);

    /// Lifts a verdict on all entries. Returns false if there is none.
    bool lift(const std::string &subject, TimePoint now);

private:
    void updateInstances();
    void receive(const std::string &peer, const std::string &body, TimePoint now);
    void tellOthers(TimePoint now);
    void send(const std::string &to, const quarantine::QuarantineNews &news, TimePoint now);

    const std::string m_name;
    feed::PeerLinks &m_peerLinks;
    const catalogue::View &m_view;
    telemetry::Counter &m_malformedFrames;
    std::mutex m_mutex;
    quarantine::Quarantine m_quarantine;
    std::shared_ptr<const catalogue::Instances> m_instances;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_FLEETQUARANTINE_H
