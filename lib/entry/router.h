// Chooses upstreams by what routing knows of them, and keeps that knowledge up to date.

#ifndef KUMQUATHAVEN_LIB_ENTRY_ROUTER_H
#define KUMQUATHAVEN_LIB_ENTRY_ROUTER_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/catalogue/view.h"
#include "kumquathaven/routing/choice.h"
#include "kumquathaven/runtime/supervisor.h"
#include "kumquathaven/settings/settings.h"
#include "kvtransfer.h"
#include "upstreamattempt.h"
#include "upstreamtable.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// Owns the fleet behind one lock. A few duties read the engines' events and load reports.
class Router
{
public:
    Router(const settings::Settings &settings, const catalogue::View &view, UpstreamTable &table,
           KvTransfer &kv);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Returns the duties that read the engines' events and load reports.
    std::vector<runtime::DutyFunction> watches();

    /// Chooses an upstream that is not in \p tried and counts the request as running there. An
    /// attempt after the first takes a retry from the budget, unless makesWay() took it before.
    std::optional<Choice> choose(const catalogue::Catalogue &catalogue,
                                 const CallerRequest &request, const std::set<std::string> &tried,
                                 bool isPaid = false);

    /// Returns how long a request is shown to wait at least inside whichever upstream it gets.
    Duration observedWait(const catalogue::Catalogue &catalogue, const CallerRequest &request);

    /// Takes the first token of an attempt when it arrives.
    void firstToken(const Choice &choice, const CallerRequest &request, TimePoint at);

    /// Returns whether an attempt without a first token should be ended because an upstream that is
    /// not in \p tried is expected to be in time, and takes the retry from the budget if so.
    bool makesWay(const Choice &choice, const catalogue::Catalogue &catalogue,
                  const CallerRequest &request, const std::set<std::string> &tried);

    /// Takes note that a request is sent after its import, which left \p missing tokens to be
    /// computed that a choice had counted on.
    void sendsNow(const Choice &choice, double missing);

    /// Takes the outcome of an attempt.
    void finished(const Choice &choice, const AttemptReport &report);

    /// Calls \p use with the fleet and the slot of an upstream, if it has one.
    void with(const std::string &upstream,
              const std::function<void(routing::Fleet &, routing::Slot)> &use);

    /// Brings the fleet in line with the newest catalogue and reviews the upstreams' health.
    void review();

private:
    void follow(const catalogue::Catalogue &catalogue, TimePoint now);
    routing::Request requestFor(const catalogue::Catalogue &catalogue, const CallerRequest &request,
                                const std::set<std::string> &tried);

    const settings::Settings &m_settings;
    const catalogue::View &m_view;
    UpstreamTable &m_table;
    KvTransfer &m_kv;
    std::mutex m_mutex;
    routing::Fleet m_fleet;
    /// Draws of the baselines.
    Random m_random;
    std::uint64_t m_revision = 0;
};

/// Returns the body as engines get it: with the customer's cache salt and the class's priority.
std::string engineBody(const CallerRequest &request);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_ROUTER_H
