// Feeds arbitrary bytes to the readers of what entries tell each other: the list of servers, and
// events about prompts and servers.

#include "listsharing.h"
#include "peerupdate.h"
#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> eventAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(update, gateway::decodeEvent(bytes, "fuzz"));
    const auto events = gateway::encodeEvents(update);
    return events.empty() ? std::string() : events.front().bytes;
}

Result<std::string> listAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(message, gateway::decodeList(bytes, "fuzz"));
    return gateway::encodeList(message);
}

Result<std::string> questionAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(digest, gateway::decodeListRequest(bytes, "fuzz"));
    return gateway::encodeListRequest(digest);
}

Result<std::string> releasesAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(releases, gateway::decodeListReleases(bytes, "fuzz"));
    return gateway::encodeListReleases(releases);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, eventAgain);
    fuzz::checkStable(bytes, listAgain);
    fuzz::checkStable(bytes, questionAgain);
    fuzz::checkStable(bytes, releasesAgain);
    return 0;
}
