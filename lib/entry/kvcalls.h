// The calls to engines and stores that move KV cache, and what their answers say.

#ifndef KUMQUATHAVEN_LIB_ENTRY_KVCALLS_H
#define KUMQUATHAVEN_LIB_ENTRY_KVCALLS_H

#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/catalogue.h"
#include "kumquathaven/routing/prefix.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kumquathaven::entry {

/// Which way an engine is to move blocks.
enum class KvDirection { Export, Import };

/// What an engine answered.
struct KvMove
{
    /// Leading blocks that it moved; nothing if it refused or said nothing that can be understood.
    std::optional<std::size_t> moved;
    bool timedOut = false;
};

/// Orders an engine to move blocks to or from the store at \p store, and waits for its answer until
/// \p until, or until \p gone returns true.
KvMove moveBlocks(KvDirection direction, const catalogue::Upstream &engine,
                  const std::string &store, const std::vector<routing::BlockHash> &blocks,
                  TimePoint until, const std::function<bool()> &gone);

/// Returns how many leading \p blocks an engine's answer names under \p field, or nothing if it is
/// no such answer.
std::optional<std::size_t> movedBlocks(const std::string &body, const char *field,
                                       const std::vector<routing::BlockHash> &blocks);

/// Returns whether the store has a block, or nothing if it does not say so within a short time.
std::optional<bool> hasBlock(const catalogue::Upstream &store, routing::BlockHash block);

} // namespace kumquathaven::entry

#endif // KUMQUATHAVEN_LIB_ENTRY_KVCALLS_H
