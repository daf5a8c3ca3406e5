// One entry's view of a KV cache store, and its decisions on which blocks engines import from and
// export to the store.

#ifndef KUMQUATHAVEN_ROUTING_KVSTORE_H
#define KUMQUATHAVEN_ROUTING_KVSTORE_H

#include "kumquathaven/routing/choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::routing {

/// The parameters of decisions about a store.
struct KvStorePolicy
{
    /// Half-life of the estimate that the store has a block, unless it is renewed. The store evicts
    /// blocks without notice.
    Duration estimateHalfLife = std::chrono::seconds(60);
    /// Blocks that the store has with a lower probability are not requested.
    double minProbability = 0.25;
    /// Blocks whose presence in the store is tracked.
    std::size_t maxBlocks = 65536;
    /// Blocks in one import or export order to an engine.
    std::size_t maxBlocksMoved = 4096;

    /// Concurrent imports of one entry.
    std::uint32_t maxImports = 16;
    /// Fixed time that an import takes besides the transfer.
    Duration importOverhead = std::chrono::milliseconds(5);
    /// Tokens per second assumed before the first sample.
    double initialImportSpeed = 100000;
    /// Half-life of the weight of a speed sample.
    Duration speedHalfLife = std::chrono::seconds(60);
    /// An import may take at most importShare of the time to compute the same tokens, at most
    /// importShare of the time left until the request's deadline, and at most maxImportTime.
    double importShare = 0.5;
    Duration maxImportTime = std::chrono::seconds(2);
    /// An engine that refused an import or let it time out gets no further import for this time.
    Duration importPause = std::chrono::seconds(10);

    /// Recent requests per second for a block from which it is worth exporting.
    double exportUseRate = 0.12;
    /// Token bucket that limits exports: its refill rate and its capacity in tokens.
    double exportTokensPerSecond = 50000;
    double exportBurst = 200000;
    /// Exports pause after the store did not accept every block. The pause doubles with each
    /// incomplete export in a row, from the first value up to the second.
    Duration firstExportPause = std::chrono::seconds(1);
    Duration maxExportPause = std::chrono::seconds(60);

    Duration probeInterval = std::chrono::seconds(1);
    /// Failed probes and import timeouts in a row after which the store is ejected.
    std::uint32_t failureLimit = 2;
    /// The length of an ejection doubles from the first value up to the second.
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);
};

/// A running import. Other requests for the same engine and prefix wait for it.
struct RunningImport
{
    std::uint64_t id = 0;
    Slot engine = 0;
    BlockHash lastBlock{};
    /// When the import times out.
    TimePoint until{};
};

/// An entry's view of the store.
struct KvStore
{
    explicit KvStore(const KvStorePolicy &policy = KvStorePolicy());

    KvStorePolicy policy;
    /// Empty if the catalogue has no store in service.
    std::string name;
    std::string address;
    /// Incremented when the store changes or may have lost its blocks. Estimates of earlier values
    /// are ignored.
    std::uint32_t generation = 0;
    /// The blocks that the store is estimated to have. The slot is always 0.
    PrefixIndex storedBlocks;

    HealthState state = HealthState::Healthy;
    /// Failed probes and import timeouts since the last successful probe.
    std::uint32_t failures = 0;
    /// Ejections since the last recovery.
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    TimePoint probedAt{};

    /// Id of the next import.
    std::uint64_t nextImport = 1;
    std::vector<RunningImport> imports;
    /// Exponentially decaying sums of imported tokens and of the seconds that the imports took.
    /// They are valid for the time sampledAt.
    double importedTokens = 0;
    double importingSeconds = 0;
    TimePoint sampledAt{};
    /// By slot, the time until which an engine gets no import.
    std::map<Slot, TimePoint> paused;

    /// Tokens in the bucket that limits exports, as of exportRefilledAt.
    double exportTokens = 0;
    TimePoint exportRefilledAt{};
    /// Incomplete exports in a row.
    std::uint32_t exportPauses = 0;
    TimePoint exportsPausedUntil{};
};

/// The import that a request waits for before it is sent to the chosen engine.
struct ImportPlan
{
    std::uint64_t id = 0;
    Slot engine = 0;
    /// Whether another request already imports the blocks, so that this one only waits.
    bool joins = false;
    /// The address of the store.
    std::string store;
    std::vector<BlockHash> blocks;
    std::uint32_t blockTokens = 0;
    TimePoint startedAt{};
    /// When the import times out and the request is sent without it.
    TimePoint until{};
};

/// How an import ended.
enum class ImportEnd {
    /// The engine has every block.
    Whole,
    /// The engine has some of the leading blocks, or none; the store lacks the next one.
    Part,
    /// The engine refused the import or sent an answer that cannot be parsed.
    Refused,
    /// The engine did not answer within the time limit.
    Timeout,
};

constexpr std::array<EnumName<ImportEnd>, 4> importEndNames = {{
    {ImportEnd::Whole, "whole"},
    {ImportEnd::Part, "part"},
    {ImportEnd::Refused, "refused"},
    {ImportEnd::Timeout, "timeout"},
}};

/// Makes \p name at \p address the store; an empty name means that there is none. If either differs
/// from the current store, everything known about the latter is dropped.
void useStore(KvStore &store, const std::string &name, const std::string &address);

/// Returns whether the store is known to have every one of \p blocks, recently enough that they
/// need not be exported again.
bool isStored(const KvStore &store, const std::vector<BlockHash> &blocks, TimePoint now);

/// Records that the store has the first \p count of \p blocks.
void recordStored(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t count,
                  TimePoint now);

/// The leading blocks of a prompt that the store is estimated to have.
struct StoredPrefix
{
    std::size_t blocks = 0;
    /// The tokens in these blocks, weighted by the probability that the store has them.
    double tokens = 0;
};

/// Returns the leading blocks of a prompt that the store is estimated to have.
StoredPrefix storedPrefix(const KvStore &store, const PrefixChain &chain, TimePoint now);

/// Returns the estimated import speed in tokens per second.
double importSpeed(const KvStore &store, TimePoint now);

/// Returns the store's data for a choice. Returns nothing if there is no store, if it is not
/// healthy, or if KvStorePolicy::maxImports imports are running.
std::optional<StoreView> storeView(const KvStore &store, const std::vector<PrefixChain> &chains,
                                   TimePoint now);

/// Returns the import that a choice needs and records it as running, or returns the running import
/// that the request can wait for. Returns nothing if no import is needed or possible in time.
std::optional<ImportPlan> planImport(KvStore &store, const Fleet &fleet, const PrefixChain &chain,
                                     const Choice &choice, std::optional<TimePoint> deadline,
                                     TimePoint now);

/// Records the end of an import, after which the engine has the first \p imported blocks.
void recordImport(KvStore &store, const ImportPlan &plan, ImportEnd end, std::size_t imported,
                  TimePoint now);

/// Adjusts the expectations of a request that is sent now, after its import, so that neither the
/// time of the import nor the \p missing tokens that were not imported count against the engine.
void adjustAfterImport(Fleet &fleet, Slot engine, std::uint64_t ticket, double missing,
                       TimePoint now);

/// Returns the leading blocks of a prompt that the chosen engine is expected to cache and that
/// several requests used recently. Returns none if the store is known to have all of them, or is
/// not in service.
std::vector<BlockHash> blocksToExport(const KvStore &store, const Fleet &fleet,
                                      const PrefixChain &chain, const Choice &choice,
                                      TimePoint now);

/// Takes \p tokens from the export budget. Returns false and takes nothing if the budget is used
/// up, exports are paused or the store is not healthy.
bool spendExport(KvStore &store, double tokens, TimePoint now);

/// Records an export after which the store has the first \p exported of \p blocks.
void recordExport(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t exported,
                  TimePoint now);

/// Returns whether the store must be probed now. Makes the store half-open if its ejection has
/// expired.
bool probeDue(KvStore &store, TimePoint now);

/// Records the result of a probe. Failures in a row eject the store. An answer ends an ejection and
/// invalidates all earlier estimates of its blocks.
void recordProbe(KvStore &store, bool answered, TimePoint now);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_KVSTORE_H
