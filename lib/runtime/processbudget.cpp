#include "kumquathaven/runtime/processbudget.h"

#include <algorithm>

#include <sys/resource.h>

namespace kumquathaven::runtime {

namespace {

constexpr double megabyte = 1000.0 * 1000.0;
/// The share of a process's memory for what is queued on links that other instances opened.
constexpr double acceptedLinksShare = 0.125;
constexpr std::size_t minAcceptedLinkBytes = std::size_t{4} * 1024 * 1024;
/// What a connection holds at most before its peer has proven that it knows the links' secret: the
/// head of a request, its fields, a short message, and buffers.
constexpr std::size_t handshakeBytes = std::size_t{64} * 1024;
/// Each of the servers for operators, probes and metrics gets this part of the descriptors.
constexpr std::uint32_t operatorsPart = 8;
constexpr std::uint32_t minConnections = 8;
constexpr std::uint32_t maxOperatorConnections = 512;

std::uint32_t descriptorsOf(const settings::Settings &settings)
{
    if (settings.platform)
        return settings.platform->maxDescriptors;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return settings::Platform().maxDescriptors;
    constexpr rlim_t most = 1048576;
    return static_cast<std::uint32_t>(std::min(limit.rlim_cur, most));
}

double memoryBytesOf(const settings::Settings &settings)
{
    return settings.platform ? settings.platform->memoryMb * megabyte
                             : static_cast<double>(settings.bounds.memoryBytes);
}

} // namespace

std::shared_ptr<budget::PeerBudget> processBudget(const settings::Settings &settings)
{
    return std::make_shared<budget::PeerBudget>(budget::bytesForPeers(memoryBytesOf(settings)));
}

std::size_t acceptedLinkBytes(const settings::Settings &settings)
{
    return std::max(minAcceptedLinkBytes,
                    static_cast<std::size_t>(memoryBytesOf(settings) * acceptedLinksShare));
}

std::size_t linkHandshakes(const settings::Settings &settings)
{
    return std::min<std::size_t>(operatorConnections(settings),
                                 acceptedLinkBytes(settings) / handshakeBytes);
}

std::uint32_t operatorConnections(const settings::Settings &settings)
{
    return std::clamp(descriptorsOf(settings) / operatorsPart, minConnections,
                      maxOperatorConnections);
}

std::uint32_t connectionsWithin(const settings::Settings &settings, std::uint32_t wanted)
{
    return std::max(minConnections, std::min(wanted, descriptorsOf(settings) / 2));
}

void reportBudget(const budget::PeerBudget &budget, telemetry::Metrics &metrics)
{
    metrics.gauge("kumquathaven_peer_bytes", "bytes that are held for peers")
        .set(static_cast<double>(budget.heldBytes()));
    metrics.gauge("kumquathaven_peer_bytes_max", "bytes that all peers together may hold")
        .set(static_cast<double>(budget.maxBytes()));
    const auto ended = [&metrics](const char *reason, std::uint64_t number) {
        metrics
            .gauge("kumquathaven_peers_ended",
                   "connections that were ended to make room, since the start",
                   {{"reason", reason}})
            .set(static_cast<double>(number));
    };
    ended("memory", budget.endedForMemory());
    ended("connections", budget.endedForConnections());
}

} // namespace kumquathaven::runtime
