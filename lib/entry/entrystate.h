// What the duties and request threads of one entry instance share.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ENTRYSTATE_H
#define KUMQUATHAVEN_LIB_ENTRY_ENTRYSTATE_H

#include "jointable.h"
#include "keyindex.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/feed/client.h"
#include "kumquathaven/settings/settings.h"
#include "kumquathaven/telemetry/metrics.h"
#include "kumquathaven/telemetry/trace.h"
#include "kumquathaven/wire/hub.h"
#include "kvtransfer.h"
#include "ordergate.h"
#include "router.h"
#include "upstreamtable.h"

#include <atomic>

namespace kumquathaven::entry {

class FleetAnswers;
class FleetLimits;
class FleetQuarantine;
class RunOnce;

/// Owned by the role; every member may be used by any thread.
struct EntryState
{
    explicit EntryState(const settings::Settings &s)
        : settings(s)
        , spans(s.traceFile, s.instance)
    { }

    const settings::Settings settings;
    telemetry::Metrics metrics;
    telemetry::SpanWriter spans;
    catalogue::View view;
    KeyIndex keys;
    UpstreamTable upstreams;
    KvTransfer kv{metrics};
    Router router{settings, view, upstreams, kv};
    JoinTable joins;
    OrderGates order;
    std::atomic<std::uint32_t> streams{0};
    std::atomic<bool> drainRequested{false};
    /// Duties that requests call; set before the first request.
    FleetLimits *limits = nullptr;
    FleetQuarantine *quarantine = nullptr;
    FleetAnswers *answers = nullptr;
    RunOnce *runOnce = nullptr;
    /// The links to other instances, for their counters.
    const wire::Hub *hub = nullptr;
    const feed::FeedClient *feed = nullptr;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ENTRYSTATE_H
