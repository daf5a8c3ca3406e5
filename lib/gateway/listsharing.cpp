#include "listsharing.h"

#include "kumquathaven/base/hash.h"

#include <algorithm>
#include <utility>

namespace kumquathaven::gateway {

namespace {

/// With three readers, one still reads after two are lost at once.
constexpr std::size_t maxReaders = 3;
constexpr const char *readersKey = "readers of the platform's list";
/// How often a reader is asked for the list. Changes in between are sent by the reader.
constexpr Duration askInterval = std::chrono::seconds(1);
/// A request without an answer for this long goes to the next reader. Two such timeouts still leave
/// enough time to notice a leaving server.
constexpr Duration answerTimeout = std::chrono::milliseconds(600);
/// How long after a request an instance is notified of changes.
constexpr Duration subscriptionTime = std::chrono::seconds(3);
/// A list older than this no longer shows which servers are leaving; the instance then reads the
/// list itself.
constexpr Duration maxListAge = std::chrono::milliseconds(2200);
/// After a failed read, an instance that is not a reader leaves the platform's calls to the readers
/// for this time. All reads fail at once if, for example, all instances start together and exceed
/// the calls that the platform accepts.
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
        for (const auto &[model, version] : it.weights)
            text += '|' + model + '=' + std::to_string(version);
        sum += stableHash(text);
    }
    return sum;
}

} // namespace

void updateReaders(ListSharing &sharing, const catalogue::Instances &instances, TimePoint now)
{
    std::vector<std::string> serving;
    for (const auto &[name, it] : instances.entries) {
        if (it.state == catalogue::InstanceState::Serving)
            serving.push_back(name);
    }
    const auto byRank = [](const std::string &key) {
        return [key](const std::string &a, const std::string &b) {
            return rendezvousRank(key, a) > rendezvousRank(key, b);
        };
    };
    std::sort(serving.begin(), serving.end(), byRank(readersKey));
    serving.resize(std::min(serving.size(), maxReaders));
    const auto self = std::find(serving.begin(), serving.end(), sharing.instance);
    sharing.isReader = self != serving.end();
    if (sharing.isReader)
        serving.erase(self);
    std::sort(serving.begin(), serving.end(), byRank(sharing.instance));
    if (serving != sharing.readers) {
        sharing.askedIndex = 0;
        sharing.askedAt = {};
        sharing.lastAnsweredAt = now;
    }
    sharing.readers = std::move(serving);
    sharing.knowsInstances = !instances.entries.empty();
    for (auto it = sharing.requesters.begin(); it != sharing.requesters.end();) {
        const bool isExpired =
            instances.entries.count(it->first) == 0 || now - it->second > subscriptionTime;
        it = isExpired ? sharing.requesters.erase(it) : std::next(it);
    }
}

std::uint32_t readerCount(const ListSharing &sharing)
{
    const std::size_t readers = sharing.readers.size() + (sharing.isReader ? 1 : 0);
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, readers));
}

bool shouldRead(const ListSharing &sharing, TimePoint now)
{
    const bool isAlone = sharing.readers.empty();
    if (sharing.isReader || (isAlone && sharing.knowsInstances))
        return true;
    // A starting instance cannot serve requests before it has a list, and reads at once instead of
    // waiting for a reader.
    const bool isBackingOff =
        sharing.lastFailureAt != TimePoint{} && now - sharing.lastFailureAt < failureBackoff;
    return now - sharing.readAt > maxListAge && !isBackingOff;
}

std::optional<std::string> nextReaderToAsk(ListSharing &sharing, TimePoint now)
{
    if (sharing.isReader || sharing.readers.empty())
        return std::nullopt;
    const bool isWaiting = sharing.askedAt > sharing.lastAnsweredAt;
    const bool hasTimedOut = isWaiting && now - sharing.askedAt > answerTimeout;
    if (hasTimedOut)
        sharing.askedIndex = (sharing.askedIndex + 1) % sharing.readers.size();
    else if (isWaiting || (sharing.askedAt != TimePoint{} && now - sharing.askedAt < askInterval))
        return std::nullopt;
    sharing.askedAt = now;
    return sharing.readers[sharing.askedIndex];
}

std::vector<std::string> applyReadList(ListSharing &sharing, ServerList servers, TimePoint now)
{
    const std::uint64_t digest = digestOf(servers);
    const bool hasChanged = sharing.servers == nullptr || digest != sharing.digest;
    sharing.servers = std::make_shared<const ServerList>(std::move(servers));
    sharing.digest = digest;
    sharing.readAt = now;
    std::vector<std::string> recipients;
    for (const auto &[name, askedAt] : sharing.requesters) {
        if (hasChanged && now - askedAt <= subscriptionTime)
            recipients.push_back(name);
    }
    return recipients;
}

ListMessage answerListRequest(ListSharing &sharing, const std::string &requester,
                              std::uint64_t digest, TimePoint now)
{
    sharing.requesters[requester] = now;
    ListMessage message;
    message.digest = sharing.digest;
    // This instance has no list yet; the age makes the requester turn to another reader.
    message.age = sharing.servers == nullptr ? maxListAge : now - sharing.readAt;
    if (digest != sharing.digest)
        message.servers = sharing.servers;
    return message;
}

bool applyAnswer(ListSharing &sharing, const ListMessage &message, TimePoint now)
{
    // A reader that cannot read the list itself is treated as one that does not answer.
    if (message.age >= maxListAge)
        return false;
    sharing.lastAnsweredAt = now;
    const TimePoint readAt = now - message.age;
    if (readAt <= sharing.readAt)
        return false;
    if (message.servers != nullptr) {
        sharing.servers = message.servers;
        sharing.digest = message.digest;
    } else if (message.digest != sharing.digest) {
        return false;
    }
    sharing.readAt = readAt;
    return true;
}

} // namespace kumquathaven::gateway
