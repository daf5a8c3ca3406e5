// Shares the platform's list of servers between instances.
//
// The platform accepts only a few calls a second from all instances together. So a few instances,
// the readers, read the list. Every other instance requests it from the first of them in its own
// ranking and is notified of changes for some seconds after a request. An instance that no reader
// answers reads the list itself. The protocol is designed for dozens of instances, for readers that
// end or stop answering, and for lists that change all the time.
//
// The functions are pure: messages, lists and the current time are arguments, and what is to be
// sent is returned.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H
#define KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/catalogue/instances.h"
#include "kumquathaven/deployment/server.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::gateway {

using ServerList = std::vector<deployment::ListedServer>;

/// The list, or only its digest and age, as one instance sends it to another.
struct ListMessage
{
    /// Digest of the list's content.
    std::uint64_t digest = 0;
    /// Time since the list was read from the platform.
    Duration age{0};
    /// Null if the receiver has this content already.
    std::shared_ptr<const ServerList> servers;
};

/// List-sharing state of one instance.
struct ListSharing
{
    std::string instance;
    /// When this instance last failed to read the list itself.
    TimePoint lastFailureAt{};
    /// All readers except this instance, ordered by the rank that they have for it.
    std::vector<std::string> readers;
    bool knowsInstances = false;
    bool isReader = false;

    /// The current list, read by this instance or received from a reader.
    std::shared_ptr<const ServerList> servers;
    std::uint64_t digest = 0;
    /// When the current list was read from the platform.
    TimePoint readAt{};

    /// Index in readers of the reader that requests are sent to, and when the last request was
    /// sent.
    std::size_t askedIndex = 0;
    TimePoint askedAt{};
    TimePoint lastAnsweredAt{};
    /// Instances that requested the list from this one, and when they last did.
    std::map<std::string, TimePoint> requesters;
};

/// Applies the current set of instances: determines the readers and removes expired requesters.
void updateReaders(ListSharing &sharing, const catalogue::Instances &instances, TimePoint now);

/// Returns how many instances read the list in normal operation; at least 1.
std::uint32_t readerCount(const ListSharing &sharing);

/// Returns whether this instance should read the list from the platform now.
bool shouldRead(const ListSharing &sharing, TimePoint now);

/// Returns the reader to send a request to now, or nothing if no request is due. Turns to the next
/// reader if the last request timed out.
std::optional<std::string> nextReaderToAsk(ListSharing &sharing, TimePoint now);

/// Applies a list that this instance read. Returns the instances to notify, if the list changed.
std::vector<std::string> applyReadList(ListSharing &sharing, ServerList servers, TimePoint now);

/// Answers a request of an instance whose list has the digest \p digest.
ListMessage answerListRequest(ListSharing &sharing, const std::string &requester,
                              std::uint64_t digest, TimePoint now);

/// Applies an answer of a reader. Returns whether the current list became newer.
bool applyAnswer(ListSharing &sharing, const ListMessage &message, TimePoint now);

/// Encode messages as CBOR and decode them. The error of a decoder is InvalidRequest and names \p
/// peer.
std::string encodeListRequest(std::uint64_t digest);
Result<std::uint64_t> decodeListRequest(std::string_view bytes, const std::string &peer);
std::string encodeList(const ListMessage &message);
Result<ListMessage> decodeList(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H
