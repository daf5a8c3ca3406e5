#include "listsharing.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// A request without an answer is repeated after this time.
constexpr Duration requestTimeout = std::chrono::milliseconds(200);
/// A list older than this no longer shows which servers are leaving; the instance then reads the
/// list itself.
constexpr Duration maxListAge = std::chrono::milliseconds(2200);
/// After a failed read, an instance that is not the reader leaves the platform's calls to the
/// reader for this time. All reads fail at once if, for example, all instances start together and
/// exceed the calls that the platform accepts.
constexpr Duration failureBackoff = std::chrono::milliseconds(1200);

std::uint64_t digestOf(const ServerList &servers)
{
    // The sum does not depend on the order of the platform's pages, which has no meaning, nor on
    // the warm-up time of a server, which changes all the time. A digest of zero stands for no
    // list.
    std::uint64_t sum = servers.size() + 1;
    for (const deployment::ListedServer &it : servers) {
        std::string text = deployment::startIdOf(it) + '|' + it.service + '|'
            + settings::toString(it.address) + '|' + it.failureDomain + '|'
            + std::to_string(it.slots) + (it.isDraining ? "|leaving" : "|");
        if (!it.release.empty())
            text += "|release=" + it.release;
        for (const auto &[model, version] : it.weights)
            text += '|' + model + '=' + std::to_string(version);
        sum += stableHash(text);
    }
    return sum;
}

} // namespace

bool shouldRead(const ListSharing &sharing, TimePoint now)
{
    if (sharing.isReader && sharing.knowsInstances)
        return true;
    const bool isBackingOff =
        sharing.lastFailureAt != TimePoint{} && now - sharing.lastFailureAt < failureBackoff;
    return now - sharing.readAt > maxListAge && !isBackingOff;
}

void applyFreshness(ListSharing &sharing, const ListFreshness &freshness, TimePoint heardAt)
{
    // A parent that cannot get a list itself has nothing to offer.
    if (freshness.digest == 0 || freshness.age >= maxListAge)
        return;
    const TimePoint readAt = heardAt - freshness.age;
    const bool isSame = sharing.servers != nullptr && freshness.digest == sharing.digest;
    if (isSame)
        sharing.readAt = std::max(sharing.readAt, readAt);
    sharing.isRequestDue = !isSame && (sharing.servers == nullptr || readAt > sharing.readAt);
}

bool shouldRequest(ListSharing &sharing, TimePoint now)
{
    const bool isWaiting =
        sharing.requestedAt != TimePoint{} && now - sharing.requestedAt < requestTimeout;
    if (!sharing.isRequestDue || isWaiting)
        return false;
    sharing.requestedAt = now;
    return true;
}

void applyReadList(ListSharing &sharing, ServerList servers, TimePoint now)
{
    sharing.digest = digestOf(servers);
    sharing.servers = std::make_shared<const ServerList>(std::move(servers));
    sharing.readAt = now;
    sharing.isRequestDue = false;
}

ListMessage answerListRequest(const ListSharing &sharing, std::uint64_t digest, TimePoint now)
{
    ListMessage message;
    message.digest = sharing.digest;
    message.age = sharing.servers == nullptr ? maxListAge : now - sharing.readAt;
    if (digest != sharing.digest)
        message.servers = sharing.servers;
    return message;
}

ListReleases releasesOf(const ListMessage &message)
{
    ListReleases result{message.digest, {}};
    const auto isTold = [](const deployment::ListedServer &it) {
        return !it.release.empty();
    };
    if (message.servers == nullptr
        || std::none_of(message.servers->begin(), message.servers->end(), isTold))
        return result;
    for (const deployment::ListedServer &it : *message.servers)
        result.releases.push_back(it.release);
    return result;
}

void addReleases(ListMessage &message, const ListReleases &releases)
{
    const bool isSame = message.servers != nullptr && message.digest == releases.digest
        && message.servers->size() == releases.releases.size();
    if (!isSame)
        return;
    ServerList servers = *message.servers;
    for (std::size_t n = 0; n < servers.size(); ++n)
        servers[n].release = releases.releases[n];
    message.servers = std::make_shared<const ServerList>(std::move(servers));
}

bool applyAnswer(ListSharing &sharing, const ListMessage &message, TimePoint now)
{
    sharing.requestedAt = {};
    if (message.age >= maxListAge || message.servers == nullptr)
        return false;
    const TimePoint readAt = now - message.age;
    if (sharing.servers != nullptr && readAt <= sharing.readAt)
        return false;
    sharing.servers = message.servers;
    sharing.digest = message.digest;
    sharing.readAt = readAt;
    sharing.isRequestDue = false;
    return true;
}

} // namespace kumquathaven::gateway
