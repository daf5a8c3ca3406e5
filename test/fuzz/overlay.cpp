// Feeds arbitrary bytes to the readers of the messages that instances exchange along their tree.

#include "kumquathaven/overlay/messages.h"

#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> updateAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(update, overlay::decodeUpdate(bytes, "fuzz"));
    return overlay::encodeUpdate(update);
}

Result<std::string> joinAgain(std::string_view bytes)
{
    BOOST_LEAF_AUTO(node, overlay::decodeJoin(bytes, "fuzz"));
    return overlay::encodeJoin(node);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, updateAgain);
    fuzz::checkStable(bytes, joinAgain);
    return 0;
}
