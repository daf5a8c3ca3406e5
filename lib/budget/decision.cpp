#include "kumquathaven/budget/decision.h"

#include <algorithm>

namespace kumquathaven::budget {

namespace {

constexpr double peersShare = 0.4;
constexpr std::size_t minBytes = std::size_t{1024} * 1024;

int sizeClass(std::size_t bytes)
{
    int result = 0;
    for (; bytes > 1; bytes /= 2)
        ++result;
    return result;
}

bool endsBefore(const PeerAccount *a, const PeerAccount *b)
{
    const bool isLargeA = a->bytes > smallPeerBytes;
    const bool isLargeB = b->bytes > smallPeerBytes;
    if (isLargeA != isLargeB)
        return isLargeA;
    const int sizeA = sizeClass(a->bytes);
    const int sizeB = sizeClass(b->bytes);
    return sizeA != sizeB ? sizeA > sizeB : a->progressAt < b->progressAt;
}

} // namespace

std::size_t bytesForPeers(double memoryBytes)
{
    return std::max(minBytes, static_cast<std::size_t>(memoryBytes * peersShare));
}

std::size_t bytesForLargePeers(std::size_t maxBytes)
{
    return maxBytes / 4 * 3;
}

bool isOver(std::size_t total, std::size_t bytes, std::size_t maxBytes)
{
    return total > maxBytes || (bytes > smallPeerBytes && total > bytesForLargePeers(maxBytes));
}

std::vector<std::uint64_t> peersToEnd(const std::vector<PeerAccount> &peers, std::size_t maxBytes)
{
    std::size_t total = 0;
    std::vector<const PeerAccount *> waiting;
    for (const PeerAccount &it : peers) {
        total += it.bytes;
        if (it.stage == PeerStage::Waiting)
            waiting.push_back(&it);
    }
    std::sort(waiting.begin(), waiting.end(), endsBefore);
    std::vector<std::uint64_t> result;
    for (const PeerAccount *it : waiting) {
        if (!isOver(total, it->bytes, maxBytes))
            break;
        result.push_back(it->id);
        total -= it->bytes;
    }
    return result;
}

std::optional<std::uint64_t> peerToReplace(const std::vector<PeerAccount> &peers)
{
    const PeerAccount *oldest = nullptr;
    for (const PeerAccount &it : peers) {
        if (it.stage == PeerStage::Waiting && (oldest == nullptr || it.since < oldest->since))
            oldest = &it;
    }
    if (oldest == nullptr)
        return std::nullopt;
    return oldest->id;
}

} // namespace kumquathaven::budget
