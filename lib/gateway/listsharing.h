// Who reads the platform's list, and how the others learn it from them.
//
// The platform takes a few calls a second from all instances together. So a few instances read the
// list; each other one asks the nearest of them in its own ranking, and is told of changes for some
// seconds after. An instance that hears from no reader reads by itself. Answers the loads of dozens
// of instances, of readers that end or fall silent, and of lists that change all the time.
//
// Pure: messages, lists, the present time and what is to be sent are arguments and results.

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

/// A list as one instance tells it another.
struct ListMessage
{
    /// Stands for the list's content.
    std::uint64_t digest = 0;
    /// Time since it was read from the platform.
    Duration age{0};
    /// Absent if the other has this content already.
    std::shared_ptr<const ServerList> servers;
};

/// State of one instance.
struct ListSharing
{
    std::string instance;
    /// When this instance's own reading failed last.
    TimePoint lastFailureAt{};
    /// All readers; without this instance, in its own ranking of them.
    std::vector<std::string> readers;
    bool knowsInstances = false;
    bool isReader = false;

    /// What is held, whoever read it.
    std::shared_ptr<const ServerList> servers;
    std::uint64_t digest = 0;
    TimePoint readAt{};

    /// Place in the ranking of the reader that is asked, and when that was.
    std::size_t askedIndex = 0;
    TimePoint askedAt{};
    TimePoint lastAnsweredAt{};
    /// Instances that asked this one, and when.
    std::map<std::string, TimePoint> requesters;
};

/// Takes the instances that live.
void updateReaders(ListSharing &sharing, const catalogue::Instances &instances, TimePoint now);

/// Returns how many instances read the list as long as all goes well.
std::uint32_t readerCount(const ListSharing &sharing);

/// Returns whether this instance is to read the list itself now.
bool shouldRead(const ListSharing &sharing, TimePoint now);

/// Returns the reader to ask now, if that is due.
std::optional<std::string> nextReaderToAsk(ListSharing &sharing, TimePoint now);

/// Takes a list that this instance read. Returns who is to be told of it.
std::vector<std::string> applyReadList(ListSharing &sharing, ServerList servers, TimePoint now);

/// Answers an instance that asked and holds the content \p digest.
ListMessage answerListRequest(ListSharing &sharing, const std::string &requester,
                              std::uint64_t digest, TimePoint now);

/// Takes an answer. Returns whether what is held is newer now.
bool applyAnswer(ListSharing &sharing, const ListMessage &message, TimePoint now);

/// Messages as CBOR, and back. The error is InvalidRequest and names \p peer.
std::string encodeListRequest(std::uint64_t digest);
Result<std::uint64_t> decodeListRequest(std::string_view bytes, const std::string &peer);
std::string encodeList(const ListMessage &message);
Result<ListMessage> decodeList(std::string_view bytes, const std::string &peer);

} // namespace kumquathaven::gateway

#endif // KUMQUATHAVEN_LIB_GATEWAY_LISTSHARING_H
