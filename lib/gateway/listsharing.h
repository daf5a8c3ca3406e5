// Shares the platform's list of servers between instances along their tree.
//
// The platform accepts only a few calls a second from all instances together. So only the root of
// the tree reads the list. With every message an instance tells its children the digest of its list
// and the list's age, and a child that has another list requests it. An instance whose list gets
// too old, since no parent has a newer one, reads the list itself. The protocol is designed for any
// number of instances, for parents that end or stop responding, and for lists that change all the
// time.
//
// The functions are pure: messages, lists and the current time are arguments, and what is to be
// sent is returned.

#ifndef KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H
#define KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/base/time.h"
#include "kumquathaven/deployment/server.h"

#include <cstdint>
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

/// Releases of the servers of a list, in its order. Empty if the platform tells of none.
struct ListReleases
{
    std::uint64_t digest = 0;
    std::vector<std::string> releases;
};

/// Digest and age of a list.
struct ListFreshness
{
    std::uint64_t digest = 0;
    Duration age{0};
};

/// List-sharing state of one instance.
struct ListSharing
{
    /// When this instance last failed to read the list itself.
    TimePoint lastFailureAt{};
    bool knowsInstances = false;
    /// Whether this instance reads the list for the others.
    bool isReader = false;

    /// The current list, read by this instance or received from its parent.
    std::shared_ptr<const ServerList> servers;
    std::uint64_t digest = 0;
    /// When the current list was read from the platform. Before there is one, when this instance
    /// began to wait for it.
    TimePoint readAt{};
    /// Whether the parent has another list that is newer, and when that was requested.
    bool isRequestDue = false;
    TimePoint requestedAt{};
};

/// Returns whether this instance should read the list from the platform now.
bool shouldRead(const ListSharing &sharing, TimePoint now);

/// Applies what the parent says of its list; \p heardAt is when it said so.
void applyFreshness(ListSharing &sharing, const ListFreshness &freshness, TimePoint heardAt);

/// Returns whether to request the list from the parent now, and records that it is requested.
bool shouldRequest(ListSharing &sharing, TimePoint now);

/// Applies a list that this instance read.
void applyReadList(ListSharing &sharing, ServerList servers, TimePoint now);

/// Answers a request of an instance whose list has the digest \p digest.
ListMessage answerListRequest(const ListSharing &sharing, std::uint64_t digest, TimePoint now);

/// Returns the releases of the servers in a message.
ListReleases releasesOf(const ListMessage &message);

/// Sets the releases of the servers in a message, unless they are those of another list.
void addReleases(ListMessage &message, const ListReleases &releases);

/// Applies the answer of the parent. Returns whether the current list became newer.
bool applyAnswer(ListSharing &sharing, const ListMessage &message, TimePoint now);

/// Encode messages as CBOR and decode them. The error of a decoder is InvalidRequest and names \p
/// peer.
std::string encodeListRequest(std::uint64_t digest);
Result<std::uint64_t> decodeListRequest(std::string_view bytes, const std::string &peer);
std::string encodeList(const ListMessage &message);
Result<ListMessage> decodeList(std::string_view bytes, const std::string &peer);
std::string encodeListReleases(const ListReleases &releases);
Result<ListReleases> decodeListReleases(std::string_view bytes, const std::string &peer);

/// Encode digest and age for the note that goes along with every message to children. Decoding
/// returns nothing if the note is empty or malformed.
std::string encodeFreshness(const ListFreshness &freshness);
std::optional<ListFreshness> decodeFreshness(std::string_view note);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H
