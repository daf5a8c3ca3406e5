// Fuzzes the decoder of the messages that instances exchange about answers.

#include "kumquathaven/answers/messages.h"
#include "stable.h"

using namespace kumquathaven;

namespace {

Result<std::string> reencodeMessage(std::string_view bytes)
{
    BOOST_LEAF_AUTO(message, answers::decodeMessage(bytes, "fuzz"));
    return answers::encodeMessage(message);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    fuzz::checkStable(fuzz::bytesOf(data, size), reencodeMessage);
    return 0;
}
