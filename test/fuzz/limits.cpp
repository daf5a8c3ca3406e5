// Fuzzes the decoder of the limits' messages. Messages that decode must encode to stable bytes.

#include "kumquathaven/limits/codec.h"
#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> reencodeMessages(std::string_view bytes)
{
    BOOST_LEAF_AUTO(messages, limits::decodeMessages(bytes, "fuzz"));
    return limits::encodeMessages(messages);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzz::checkStable(fuzz::bytesOf(data, size), reencodeMessages);
    return 0;
}
