// Decides which peers a process ends when they hold too much of its memory or too many connections.
// Answers many peers that each stay inside the limits of one, but together do not fit.

#ifndef KUMQUATHAVEN_BUDGET_DECISION_H
#define KUMQUATHAVEN_BUDGET_DECISION_H

#include "kumquathaven/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquathaven::budget {

/// What a peer's connection does.
enum class PeerStage {
    /// It waits for a request, sends one, or takes an answer that is ready.
    Waiting,
    /// Its request is being served, which must not be ended for memory.
    Served,
};

/// What is held for one peer.
struct PeerAccount
{
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    PeerStage stage = PeerStage::Waiting;
    /// When bytes last arrived from it or were taken by it.
    TimePoint progressAt{};
    /// When its present stage began.
    TimePoint since{};
};

/// Returns the bytes that all peers together may hold in a process with \p memoryBytes. The rest is
/// for the process's own state, for copies and for what the allocator does not return.
std::size_t bytesForPeers(double memoryBytes);

/// A peer with no more bytes than this also uses the reserve, the last quarter of the budget.
constexpr std::size_t smallPeerBytes = std::size_t{64} * 1024;

/// Returns the bytes that peers with more than smallPeerBytes may make the total reach.
std::size_t bytesForLargePeers(std::size_t maxBytes);

/// Returns whether something has to end: the total has passed \p maxBytes, or is past
/// bytesForLargePeers() while a peer has grown to \p bytes, more than smallPeerBytes.
bool isOver(std::size_t total, std::size_t bytes, std::size_t maxBytes);

/// Returns the peers to end, in this order: by size, in powers of two, and within a size those
/// without progress for longest. Peers that are being served stay. Small peers stay as long as the
/// total is within \p maxBytes.
std::vector<std::uint64_t> peersToEnd(const std::vector<PeerAccount> &peers, std::size_t maxBytes);

/// Returns the waiting peer whose stage began first, which makes room for another connection.
std::optional<std::uint64_t> peerToReplace(const std::vector<PeerAccount> &peers);

} // namespace kumquathaven::budget

#endif // KUMQUATHAVEN_BUDGET_DECISION_H
