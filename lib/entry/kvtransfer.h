// Has engines export prefixes to the KV cache store and import them from it.

#ifndef KUMQUATHAVEN_LIB_ENTRY_KVTRANSFER_H
#define KUMQUATHAVEN_LIB_ENTRY_KVTRANSFER_H

#include "kumquathaven/base/ring.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/routing/kvstore.h"
#include "kumquathaven/runtime/stopsignal.h"
#include "kumquathaven/telemetry/metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// What became of an import.
struct ImportOutcome
{
    routing::ImportEnd end = routing::ImportEnd::Refused;
    /// Leading blocks of the plan that the engine has now.
    std::size_t imported = 0;
};

/// What operators see of the store.
struct KvStatus
{
    /// Empty: the catalogue has no store in service.
    std::string store;
    routing::HealthState state = routing::HealthState::Healthy;
    /// Blocks of which something is believed, however old.
    std::size_t blocks = 0;
};

/// Owns what the entry knows of the store, behind one lock. Requests import on their own threads;
/// a duty exports, asks the store what it has, and probes it.
class KvTransfer
{
public:
    explicit KvTransfer(telemetry::Metrics &metrics);
    KvTransfer(const KvTransfer &) = delete;
    KvTransfer &operator=(const KvTransfer &) = delete;

    /// Takes the first serving store of the catalogue, by name.
    void follow(const catalogue::Catalogue &catalogue);

    /// Returns what a choice may count on.
    std::optional<routing::StoreView> view(const std::vector<routing::PrefixChain> &chains,
                                           TimePoint now);

    /// Returns what to import before the request of a choice is sent, if anything.
    std::optional<routing::ImportPlan> plan(const routing::Fleet &fleet,
                                            const routing::PrefixChain &chain,
                                            const routing::Choice &choice,
                                            std::optional<TimePoint> deadline, TimePoint now);

    /// Hands the duty the blocks of a prompt that are worth an export by the chosen engine. They
    /// are dropped if the duty is behind.
    void offer(const routing::Fleet &fleet, const routing::PrefixChain &chain,
               const routing::Choice &choice, const catalogue::Upstream &engine, TimePoint now);

    /// Carries out a plan and returns at its limit at the latest, or when \p gone returns true.
    ImportOutcome import(const routing::ImportPlan &plan, const catalogue::Upstream &engine,
                         const std::function<bool()> &gone);

    KvStatus status() const;

    /// Runs the duty until the signal is set.
    void run(const runtime::StopSignal &stop);

private:
    /// A prefix that an engine holds.
    struct ExportJob
    {
        catalogue::Upstream engine;
        std::vector<routing::BlockHash> blocks;
        std::uint32_t blockTokens = 0;
    };

    ImportOutcome awaitRunning(const routing::ImportPlan &plan, const std::function<bool()> &gone);
    void probe();
    void takeProbe(bool answered);
    void exportPrefix(const ExportJob &job);
    /// Returns how many leading blocks the store has, or nothing if it does not say.
    std::optional<std::size_t> askStored(const catalogue::Upstream &store,
                                         const std::vector<routing::BlockHash> &blocks);
    /// Returns how many leading blocks the engine brought to the store.
    std::size_t askExport(const ExportJob &job, const std::string &storeAddress,
                          const std::vector<routing::BlockHash> &blocks);
    /// Returns the store if it takes part now.
    std::optional<catalogue::Upstream> healthyStore();
    void logState(routing::HealthState before);

    telemetry::Metrics &m_metrics;
    mutable std::mutex m_mutex;
    /// Signalled when an import has ended.
    std::condition_variable m_importEnded;
    routing::KvStore m_store;
    catalogue::Upstream m_upstream;
    BoundedRing<ExportJob> m_jobs;
    /// Engines that refused an export, until when they are not asked again. Used by the duty.
    std::map<std::string, TimePoint> m_refusing;
};

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_KVTRANSFER_H
