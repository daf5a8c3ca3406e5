// Feeds arbitrary bytes to the decoders of messages between control members, of orders in the log
// and in snapshots, and of the first message of a link, and checks that re-encoding is stable.

#include "handshake.h"
#include "kumquathaven/wire/cbor.h"
#include "membermessages.h"
#include "ordercodec.h"
#include "stable.h"

#include <nlohmann/json.hpp>

using namespace kumquathaven;

namespace {

Result<std::string> reencodeMessage(std::string_view bytes)
{
    BOOST_LEAF_AUTO(frame, wire::decodeFrame(bytes, "fuzz"));
    BOOST_LEAF_AUTO(message, control::memberMessage(frame, "fuzz"));
    return wire::encodeFrame(control::toFrame(message));
}

Result<std::string> reencodeHello(std::string_view bytes)
{
    BOOST_LEAF_AUTO(hello, wire::decodeHello(bytes, "fuzz"));
    return wire::encodeHello(hello);
}

Result<std::string> reencodeOrderCommand(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "fuzz", "fuzz"));
    BOOST_LEAF_AUTO(command, control::orderCommandFromJson(value));
    return control::encodeOrderCommand(command);
}

Result<std::string> reencodeOrderState(std::string_view bytes)
{
    BOOST_LEAF_AUTO(value, wire::fromCbor(bytes, "fuzz", "fuzz"));
    BOOST_LEAF_AUTO(state, control::orderStateFromJson(value));
    return wire::toCbor(control::toJson(state));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::bytesOf(data, size);
    fuzz::checkStable(bytes, reencodeMessage);
    fuzz::checkStable(bytes, reencodeHello);
    fuzz::checkStable(bytes, reencodeOrderCommand);
    fuzz::checkStable(bytes, reencodeOrderState);
    return 0;
}
