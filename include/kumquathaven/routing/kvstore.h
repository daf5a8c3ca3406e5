// What one entry knows of a KV cache store, and what it has engines move to and from it.

#ifndef KUMQUATHAVEN_ROUTING_KVSTORE_H
#define KUMQUATHAVEN_ROUTING_KVSTORE_H

#include "kumquathaven/routing/choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::routing {

/// The constants of decisions about a store.
struct KvStorePolicy
{
    /// A belief that nothing renews loses half its weight in this time: a store evicts unasked.
    Duration estimateHalfLife = std::chrono::seconds(60);
    /// Blocks that are less likely to be there are not asked for.
    double minProbability = 0.25;
    std::size_t maxBlocks = 65536;
    /// Blocks in one order to an engine.
    std::size_t maxBlocksMoved = 4096;

    /// Imports that one entry has under way.
    std::uint32_t maxImports = 16;
    /// The time an import takes besides the transfer.
    Duration importOverhead = std::chrono::milliseconds(5);
    double initialImportSpeed = 100000;
    /// Samples of the speed lose half their weight in this time.
    Duration speedHalfLife = std::chrono::seconds(60);
    /// An import may take this share of the time that computing the same tokens takes, or of what
    /// is left until the request's deadline, and this time in any case.
    double importShare = 0.5;
    Duration maxImportTime = std::chrono::seconds(2);
    /// An engine that did not import gets no further import for this time.
    Duration importPause = std::chrono::seconds(10);

    /// Requests a second that a block must have had lately to be exported.
    double exportUseRate = 0.12;
    double exportTokensPerSecond = 50000;
    double exportBurst = 200000;
    /// After a store that did not take all, exports stop for a time that doubles.
    Duration firstExportPause = std::chrono::seconds(1);
    Duration maxExportPause = std::chrono::seconds(60);

    Duration probeInterval = std::chrono::seconds(1);
    /// Failed probes and imports that ran out of time, in a row, after which the store is ejected.
    std::uint32_t failureLimit = 2;
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);
};

/// An import under way, on which other requests for the same engine may wait.
struct RunningImport
{
    std::uint64_t id = 0;
    Slot engine = 0;
    BlockHash lastBlock{};
    TimePoint until{};
};

/// One store as an entry sees it.
struct KvStore
{
    explicit KvStore(const KvStorePolicy &policy = KvStorePolicy());

    KvStorePolicy policy;
    /// Empty: the catalogue has no store in service.
    std::string name;
    std::string address;
    /// Beliefs of an earlier life are worth nothing.
    std::uint32_t generation = 0;
    PrefixIndex storedBlocks;

    HealthState state = HealthState::Healthy;
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil{};
    TimePoint probedAt{};

    std::uint64_t nextImport = 1;
    std::vector<RunningImport> imports;
    double importedTokens = 0;
    double importingSeconds = 0;
    TimePoint sampledAt{};
    /// Until when engines get no import.
    std::map<Slot, TimePoint> paused;

    double exportTokens = 0;
    TimePoint exportRefilledAt{};
    std::uint32_t exportPauses = 0;
    TimePoint exportsPausedUntil{};
};

/// What is to happen before a request is sent to the chosen engine.
struct ImportPlan
{
    std::uint64_t id = 0;
    Slot engine = 0;
    /// Whether another request imports the blocks already, so that this one only waits.
    bool joins = false;
    std::string store;
    std::vector<BlockHash> blocks;
    std::uint32_t blockTokens = 0;
    TimePoint startedAt{};
    /// After it the request is sent without the import.
    TimePoint until{};
};

/// How an import ended.
enum class ImportEnd {
    /// The engine has every block.
    Whole,
    /// The engine has some of the first blocks, or none; the store does not have the next one.
    Part,
    /// The engine does not import: it refused, or gave no answer that can be understood.
    Refused,
    /// No answer within the limit.
    Timeout,
};

constexpr std::array<EnumName<ImportEnd>, 4> importEndNames = {{
    {ImportEnd::Whole, "whole"},
    {ImportEnd::Part, "part"},
    {ImportEnd::Refused, "refused"},
    {ImportEnd::Timeout, "timeout"},
}};

/// Makes \p name at \p address the store; an empty name means none. What was believed of another
/// one is dropped.
void useStore(KvStore &store, const std::string &name, const std::string &address);

/// Returns whether the store is known to have every one of \p blocks, and lately enough.
bool isStored(const KvStore &store, const std::vector<BlockHash> &blocks, TimePoint now);

/// Takes note that the store has the first \p count of \p blocks.
void recordStored(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t count,
                  TimePoint now);

/// Returns how many leading blocks of a prompt the store is believed to have, and the tokens in
/// them weighed with the probability.
struct StoredPrefix
{
    std::size_t blocks = 0;
    double tokens = 0;
};
StoredPrefix storedPrefix(const KvStore &store, const PrefixChain &chain, TimePoint now);

/// Returns the tokens that are imported in a second.
double importSpeed(const KvStore &store, TimePoint now);

/// Returns what a choice may count on, or nothing: no store, an ejected one, or too many imports
/// under way.
std::optional<StoreView> storeView(const KvStore &store, const std::vector<PrefixChain> &chains,
                                   TimePoint now);

/// Returns the import that a choice asks for, or the running one that it can wait for, and counts
/// it as under way.
std::optional<ImportPlan> planImport(KvStore &store, const Fleet &fleet, const PrefixChain &chain,
                                     const Choice &choice, std::optional<TimePoint> deadline,
                                     TimePoint now);

/// Takes note of the end of an import of which the engine has the first \p imported blocks.
void recordImport(KvStore &store, const ImportPlan &plan, ImportEnd end, std::size_t imported,
                  TimePoint now);

/// Corrects what is expected of a request that is sent now, after its import: the engine is neither
/// blamed for the time of the import nor for the \p missing tokens that were not imported.
void adjustAfterImport(Fleet &fleet, Slot engine, std::uint64_t ticket, double missing,
                       TimePoint now);

/// Returns the leading blocks of a prompt that the chosen engine holds, that several requests have
/// used lately, and that the store is not known to have; none if all that is known.
std::vector<BlockHash> blocksToExport(const KvStore &store, const Fleet &fleet,
                                      const PrefixChain &chain, const Choice &choice,
                                      TimePoint now);

/// Takes an export of \p tokens from the budget. Returns false, and takes nothing, if it is used up
/// or exports are paused.
bool spendExport(KvStore &store, double tokens, TimePoint now);

/// Takes note of an export of which the store took the first \p exported of \p blocks.
void recordExport(KvStore &store, const std::vector<BlockHash> &blocks, std::size_t exported,
                  TimePoint now);

/// Returns whether the store is to be probed now. One whose ejection is over becomes half-open.
bool probeDue(KvStore &store, TimePoint now);

/// Takes note of a probe. Failures in a row eject the store; an answer ends an ejection, and
/// nothing that was believed before it counts any more.
void recordProbe(KvStore &store, bool answered, TimePoint now);

} // namespace kumquathaven::routing

#endif // KUMQUATHAVEN_ROUTING_KVSTORE_H
